package ridgemill.cdn.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** What clients, instances and operators saw in a run, and which rules it breaks. Times are in milliseconds of one clock. */
final class SoakAudit {

    private static final double CONTACT_MS = 3_000;
    private static final double PURGE_DEADLINE_MS = 2_000;
    private static final double TTL_MS = 4_000;
    private static final double STALE_SLACK_MS = 2_000;
    private static final double RATE_WINDOW_MS = 5_000;
    private static final double RATE_OVERAGE = 1.1;
    private static final int ALLOWED_EXTRA_REQUESTS = 5;
    private static final int ALLOWED_LOST_REQUESTS = 3;

    private record Purge(String object, int version, double ackedMs) {}

    private record Fault(String machine, double fromMs, double toMs) {}

    private final long startNanos = System.nanoTime();
    private final Map<String, AtomicInteger> runsByKey = new ConcurrentHashMap<>();
    private final Set<String> arrivedAttempts = ConcurrentHashMap.newKeySet();
    private final Set<String> refusedAttempts = ConcurrentHashMap.newKeySet();
    private final Map<String, double[]> replacedMs = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<Purge> purges = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<Fault> faults = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<Double> originArrivals = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<String> violations = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<String> lostAttempts = new ConcurrentLinkedQueue<>();
    private final AtomicInteger faultFreeRequests = new AtomicInteger();
    private final AtomicInteger faultFreeServed = new AtomicInteger();
    private volatile double faultFreeFromMs = Double.POSITIVE_INFINITY;

    double now() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    void recordViolation(String rule, String what) {
        violations.add(rule + " at " + Math.round(now()) + " ms: " + what);
    }

    /** A machine is in trouble, or a core machine, which unsettles all. */
    void recordFault(String machine, double fromMs, double toMs) {
        faults.add(new Fault(machine, fromMs, toMs));
    }

    /** Whether neither the machine nor the core was in trouble from {@code contact} before a span to its end. */
    boolean isInTouch(String machine, double fromMs, double toMs) {
        for (Fault trouble : faults) {
            boolean concerns =
                    trouble.machine().equals(machine) || trouble.machine().startsWith("core");
            if (concerns && trouble.fromMs() <= toMs && trouble.toMs() >= fromMs - CONTACT_MS) {
                return false;
            }
        }
        return true;
    }

    /** From now on every process runs: what is asked has to be served. */
    void startFaultFreePhase() {
        faultFreeFromMs = now();
    }

    /** A request reached an instance and ran. */
    void operationRan(String attemptId, String key) {
        arrivedAttempts.add(attemptId);
        if (key != null
                && runsByKey.computeIfAbsent(key, k -> new AtomicInteger()).incrementAndGet() > 1) {
            recordViolation("TWICE", "key " + key + " ran again as " + attemptId);
        }
    }

    /** A request of any kind reached the origin of objects. */
    void originArrival() {
        originArrivals.add(now());
    }

    /** An object got its next version: the one before was replaced now. */
    void replaced(String object, int version) {
        replacedMs.put(object + '/' + version, new double[] {now()});
    }

    void purgeAcknowledged(String object, int replacedVersion) {
        purges.add(new Purge(object, replacedVersion, now()));
    }

    /** A client was promised that its try has not run and never will. */
    void recordStatus(String attemptId, int status) {
        if (status == 429 || status == 503 || status == 408 || status == 421) {
            refusedAttempts.add(attemptId);
        }
    }

    /** A request on a kept connection ended without a whole answer at a process that is alive. */
    void recordLost(String attemptId, String proxy, double sentMs) {
        if (isInTouch(proxy, sentMs, now())) {
            lostAttempts.add(attemptId);
        }
    }

    /** A read was answered with this version. */
    void recordRead(String object, int version, String proxy, double sentMs) {
        if (!isInTouch(proxy, sentMs, now())) {
            return;
        }
        for (Purge purge : purges) {
            if (purge.object().equals(object)
                    && version <= purge.version()
                    && sentMs > purge.ackedMs() + PURGE_DEADLINE_MS) {
                recordViolation("STALE", object + " v" + version + " at " + proxy + ", purged at " + purge.ackedMs());
            }
        }
        double[] replaced = replacedMs.get(object + '/' + version);
        if (replaced != null && sentMs > replaced[0] + TTL_MS + STALE_SLACK_MS) {
            recordViolation("STALE", object + " v" + version + " at " + proxy + ", replaced at " + replaced[0]);
        }
    }

    /** A client has its last word on a request. */
    void requestFinished(double sentMs, boolean served) {
        if (sentMs > faultFreeFromMs) {
            faultFreeRequests.incrementAndGet();
            faultFreeServed.addAndGet(served ? 1 : 0);
        }
    }

    int served() {
        return faultFreeServed.get();
    }

    /** All rules that the run broke. */
    List<String> violations(double originRate) {
        List<String> all = new ArrayList<>(violations);
        for (String attemptId : refusedAttempts) {
            if (arrivedAttempts.contains(attemptId)) {
                all.add("REFUSED: " + attemptId + " was promised not to run and ran");
            }
        }
        List<String> passedOn =
                lostAttempts.stream().filter(arrivedAttempts::contains).toList();
        if (passedOn.size() > ALLOWED_LOST_REQUESTS) {
            all.add("LOST: requests that were passed on ended without an answer at machines in touch: " + passedOn);
        }
        checkRateCeiling(originRate, all);
        if (faultFreeRequests.get() > 0 && faultFreeServed.get() < 0.9 * faultFreeRequests.get()) {
            all.add("RECOVER: " + faultFreeServed + " of " + faultFreeRequests + " served after the troubles");
        }
        return all;
    }

    private void checkRateCeiling(double originRate, List<String> all) {
        List<Double> times = new ArrayList<>(originArrivals);
        times.sort(Double::compare);
        int most = (int) (originRate * RATE_OVERAGE * RATE_WINDOW_MS / 1_000) + ALLOWED_EXTRA_REQUESTS;
        for (int first = 0; first + most < times.size(); first++) {
            double lasted = times.get(first + most) - times.get(first);
            if (lasted < RATE_WINDOW_MS && !anyFrozen(times.get(first), times.get(first + most))) {
                all.add("CEILING: " + (most + 1) + " requests in " + lasted + " ms from " + times.get(first));
                return;
            }
        }
    }

    /** What frozen machines sent doesn't count, and can't be told apart here. */
    private boolean anyFrozen(double fromMs, double toMs) {
        return faults.stream().anyMatch(trouble -> trouble.fromMs() <= toMs && trouble.toMs() + CONTACT_MS >= fromMs);
    }
}
