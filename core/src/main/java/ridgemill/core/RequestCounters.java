package ridgemill.core;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import ridgemill.policy.Reason;
import ridgemill.policy.Router.Outcome;

/** Counts of requests and attempts since the start, for logs and metrics. Not thread-safe. */
public final class RequestCounters {

    private final Map<String, long[]> reasons = new HashMap<>();
    private final Map<String, long[]> ends = new HashMap<>();
    private final long[] outcomes = new long[Outcome.values().length];
    private long requests;
    private long written;

    /** How a request ended; {@code GONE} means that its client disconnected. */
    public enum RequestResult { SERVED, REFUSED, FAILED, GONE }

    /** Counts a request that was taken. */
    public void requestStarted() {
        requests++;
    }

    /** Counts the end of a request of this class. */
    public void requestEnded(String service, RequestResult end) {
        add(service, end, 1);
    }

    /** Moves a request of this class that was counted with one result to another. */
    public void changeResult(String service, RequestResult from, RequestResult to) {
        add(service, from, -1);
        add(service, to, 1);
    }

    private void add(String service, RequestResult end, int by) {
        ends.computeIfAbsent(service, s -> new long[RequestResult.values().length])[end.ordinal()] += by;
    }

    /** Counts an attempt whose last byte was written to its node. */
    void attemptWritten() {
        written++;
    }

    /** The number of attempts whose last byte was written to their node, whatever their outcome. */
    public long attemptsWritten() {
        return written;
    }

    /** The number of requests of a class with this result. */
    public long count(String service, RequestResult end) {
        long[] of = ends.get(service);
        return of == null ? 0 : of[end.ordinal()];
    }

    /** The number of requests of all classes with this result. */
    public long count(RequestResult end) {
        return ends.values().stream().mapToLong(of -> of[end.ordinal()]).sum();
    }

    /** Counts the reason for which a request of this class was refused or failed. */
    void reasonCount(String service, Reason why) {
        reasons.computeIfAbsent(service, s -> new long[Reason.values().length])[why.ordinal()]++;
    }

    /**
     * The number of refused and failed requests by class and reason code, in alphabetical order, without zero counts.
     */
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

    /** The number of requests of all classes that were refused or failed for this reason. */
    public long reasonCount(Reason why) {
        return reasons.values().stream().mapToLong(c -> c[why.ordinal()]).sum();
    }

    /** Counts the outcome of an attempt. */
    void attemptEnded(Outcome outcome) {
        outcomes[outcome.ordinal()]++;
    }

    /** Adds the counts of {@code other} to these and returns this object. */
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

    /** The number of requests taken, whatever their result. */
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

    /** The number of requests whose client disconnected before the response. */
    public long gone() {
        return count(RequestResult.GONE);
    }

    /** The number of attempts with this outcome. */
    public long attempts(Outcome outcome) {
        return outcomes[outcome.ordinal()];
    }

    @Override
    public String toString() {
        return "requests=" + requests + " served=" + served() + " refused=" + refused() + " failed=" + failed()
                + " gone=" + gone() + " attempts: " + Arrays.stream(Outcome.values()).filter(o -> attempts(o) > 0)
                .map(o -> o + "=" + attempts(o)).collect(Collectors.joining(" "))
                + (reasons.isEmpty() ? "" : " reasons: " + Arrays.stream(Reason.values()).filter(r -> reasonCount(r) > 0)
                .map(r -> r.code() + "=" + reasonCount(r)).collect(Collectors.joining(" ")));
    }
}
