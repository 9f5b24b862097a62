package ridgemill.cdn.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Records the observations of clients, instances and operators in a run and checks them against the rules. Times are in
 * milliseconds since the start of the run.
 */
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

    void recordViolation(String rule, String description) {
        violations.add(rule + " at " + Math.round(now()) + " ms: " + description);
    }

    /** Records a fault of a machine. A fault of a core machine affects all machines. */
    void recordFault(String machine, double fromMs, double toMs) {
        faults.add(new Fault(machine, fromMs, toMs));
    }

    /**
     * Returns whether neither the machine nor the core had a fault from the {@code contact} time before a span to its
     * end.
     */
    boolean isInContact(String machine, double fromMs, double toMs) {
        for (Fault fault : faults) {
            boolean concerns =
                    fault.machine().equals(machine) || fault.machine().startsWith("core");
            if (concerns && fault.fromMs() <= toMs && fault.toMs() >= fromMs - CONTACT_MS) {
                return false;
            }
        }
        return true;
    }

    /** Starts the fault-free phase: all processes run, so requests have to be served. */
    void startFaultFreePhase() {
        faultFreeFromMs = now();
    }

    /** Records that a request reached an instance and ran. */
    void operationRan(String attemptId, String key) {
        arrivedAttempts.add(attemptId);
        if (key != null
                && runsByKey.computeIfAbsent(key, k -> new AtomicInteger()).incrementAndGet() > 1) {
            recordViolation("TWICE", "key " + key + " ran again as " + attemptId);
        }
    }

    /** Records that a request of any kind reached the origin of the objects. */
    void originArrival() {
        originArrivals.add(now());
    }

    /** Records that a version of an object was replaced by the next one. */
    void replaced(String object, int version) {
        replacedMs.put(object + '/' + version, new double[] {now()});
    }

    void purgeAcknowledged(String object, int replacedVersion) {
        purges.add(new Purge(object, replacedVersion, now()));
    }

    /** Records a status by which a client is promised that its attempt did not run and never will. */
    void recordStatus(String attemptId, int status) {
        if (status == 429 || status == 503 || status == 408 || status == 421) {
            refusedAttempts.add(attemptId);
        }
    }

    /** Records that a request on a reused connection ended without a complete response at a live process. */
    void recordLost(String attemptId, String proxy, double sentMs) {
        if (isInContact(proxy, sentMs, now())) {
            lostAttempts.add(attemptId);
        }
    }

    /** Records the version in the response to a read. */
    void recordRead(String object, int version, String proxy, double sentMs) {
        if (!isInContact(proxy, sentMs, now())) {
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

    /** Records the final result of a request of a client. */
    void requestFinished(double sentMs, boolean served) {
        if (sentMs > faultFreeFromMs) {
            faultFreeRequests.incrementAndGet();
            faultFreeServed.addAndGet(served ? 1 : 0);
        }
    }

    int served() {
        return faultFreeServed.get();
    }

    /** Returns all violations of the run. */
    List<String> violations(double originRate) {
        List<String> all = new ArrayList<>(violations);
        for (String attemptId : refusedAttempts) {
            if (arrivedAttempts.contains(attemptId)) {
                all.add("REFUSED: " + attemptId + " was promised not to run and ran");
            }
        }
        List<String> forwarded =
                lostAttempts.stream().filter(arrivedAttempts::contains).toList();
        if (forwarded.size() > ALLOWED_LOST_REQUESTS) {
            all.add("LOST: requests that were passed on ended without an answer at machines in touch: " + forwarded);
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
        int maxRequests = (int) (originRate * RATE_OVERAGE * RATE_WINDOW_MS / 1_000) + ALLOWED_EXTRA_REQUESTS;
        for (int first = 0; first + maxRequests < times.size(); first++) {
            double durationMs = times.get(first + maxRequests) - times.get(first);
            if (durationMs < RATE_WINDOW_MS && !anyFrozen(times.get(first), times.get(first + maxRequests))) {
                all.add("CEILING: " + (maxRequests + 1) + " requests in " + durationMs + " ms from "
                        + times.get(first));
                return;
            }
        }
    }

    /**
     * Returns whether any machine had a fault near a span. Requests that paused machines sent do not count, but cannot
     * be distinguished here.
     */
    private boolean anyFrozen(double fromMs, double toMs) {
        return faults.stream().anyMatch(fault -> fault.fromMs() <= toMs && fault.toMs() + CONTACT_MS >= fromMs);
    }
}
