package ridgemill.core;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import ridgemill.policy.Reason;
import ridgemill.policy.Router.Outcome;

/** Counts since the start, for the log and for whoever watches. */
public final class RequestCounters {

    private final Map<String, long[]> reasons = new HashMap<>();
    private final Map<String, long[]> ends = new HashMap<>();
    private final long[] outcomes = new long[Outcome.values().length];
    private long requests;
    private long written;

    /** How a request ended. */
    public enum RequestResult { SERVED, REFUSED, FAILED, GONE }

    /** A request was taken. */
    public void requestStarted() {
        requests++;
    }

    /** One of this class that was taken has ended so. */
    public void requestEnded(String service, RequestResult end) {
        add(service, end, 1);
    }

    /** One that was counted as ended in one way has ended in another. */
    public void changeResult(String service, RequestResult from, RequestResult to) {
        add(service, from, -1);
        add(service, to, 1);
    }

    private void add(String service, RequestResult end, int by) {
        ends.computeIfAbsent(service, s -> new long[RequestResult.values().length])[end.ordinal()] += by;
    }

    /** The last byte of an attempt was written to its node. */
    void attemptWritten() {
        written++;
    }

    /** Attempts whose last byte was written to their node, however they ended. */
    public long attemptsWritten() {
        return written;
    }

    /** Requests of a class that ended so. */
    public long count(String service, RequestResult end) {
        long[] of = ends.get(service);
        return of == null ? 0 : of[end.ordinal()];
    }

    /** Requests of all classes that ended so. */
    public long count(RequestResult end) {
        return ends.values().stream().mapToLong(of -> of[end.ordinal()]).sum();
    }

    /** One of this class was refused or has failed, and why. */
    void reasonCount(String service, Reason why) {
        reasons.computeIfAbsent(service, s -> new long[Reason.values().length])[why.ordinal()]++;
    }

    /** How many of each class were refused or have failed for each reason that there was; in the order of names. */
    public Map<String, Map<String, Long>> reasons() {
        Map<String, Map<String, Long>> all = new TreeMap<>();
        reasons.forEach((service, counts) -> {
            Map<String, Long> of = new TreeMap<>();
            for (Reason r : Reason.values()) {
                if (counts[r.ordinal()] > 0) {
                    of.put(r.code(), counts[r.ordinal()]);
                }
            }
            all.put(service, of);
        });
        return all;
    }

    /** How many were refused or have failed for a reason, of all classes. */
    public long reasonCount(Reason why) {
        return reasons.values().stream().mapToLong(c -> c[why.ordinal()]).sum();
    }

    void attemptEnded(Outcome outcome) {
        outcomes[outcome.ordinal()]++;
    }

    /** Adds what another counted. */
    public RequestCounters add(RequestCounters other) {
        requests += other.requests;
        written += other.written;
        other.ends.forEach((service, counts) -> {
            long[] own = ends.computeIfAbsent(service, s -> new long[counts.length]);
            for (int i = 0; i < counts.length; i++) {
                own[i] += counts[i];
            }
        });
        for (int i = 0; i < outcomes.length; i++) {
            outcomes[i] += other.outcomes[i];
        }
        other.reasons.forEach((service, counts) -> {
            long[] own = reasons.computeIfAbsent(service, s -> new long[counts.length]);
            for (int i = 0; i < counts.length; i++) {
                own[i] += counts[i];
            }
        });
        return this;
    }

    /** Requests taken, whatever became of them. */
    public long requests() {
        return requests;
    }

    public long served() {
        return count(RequestResult.SERVED);
    }

    public long refused() {
        return count(RequestResult.REFUSED);
    }

    public long failed() {
        return count(RequestResult.FAILED);
    }

    /** Requests whose client left before its answer. */
    public long gone() {
        return count(RequestResult.GONE);
    }

    /** Attempts that ended so. */
    public long attempts(Outcome outcome) {
        return outcomes[outcome.ordinal()];
    }

    @Override
    public String toString() {
        return "requests=" + requests + " served=" + served() + " refused=" + refused() + " failed=" + failed() + " gone="
                + gone() + " attempts: " + Arrays.stream(Outcome.values()).filter(o -> attempts(o) > 0)
                .map(o -> o + "=" + attempts(o)).collect(Collectors.joining(" ")) + (reasons.isEmpty() ? "" : " reasons: "
                + Arrays.stream(Reason.values()).filter(r -> reasonCount(r) > 0).map(r -> r.code() + "=" + reasonCount(r))
                .collect(Collectors.joining(" ")));
    }
}
