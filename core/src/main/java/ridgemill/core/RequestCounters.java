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
    private final Map<String, long[]> results = new HashMap<>();
    private final long[] outcomes = new long[Outcome.values().length];
    private long requests;
    private long attemptsWritten;

    /** How a request ended; {@code GONE} means that its client disconnected. */
    public enum RequestResult { SERVED, REFUSED, FAILED, GONE }

    /** Counts a request that was taken. */
    public void requestStarted() {
        requests++;
    }

    /** Counts the end of a request of this class. */
    public void requestEnded(String serviceClass, RequestResult result) {
        add(serviceClass, result, 1);
    }

    /** Moves a request of this class that was counted with one result to another. */
    public void changeResult(String serviceClass, RequestResult from, RequestResult to) {
        add(serviceClass, from, -1);
        add(serviceClass, to, 1);
    }

    private void add(String serviceClass, RequestResult result, int by) {
        results.computeIfAbsent(serviceClass, s -> new long[RequestResult.values().length])[result.ordinal()] += by;
    }

    /** Counts an attempt whose last byte was written to its node. */
    void attemptWritten() {
        attemptsWritten++;
    }

    /** The number of attempts whose last byte was written to their node, whatever their outcome. */
    public long attemptsWritten() {
        return attemptsWritten;
    }

    /** The number of requests of a class with this result. */
    public long count(String serviceClass, RequestResult result) {
        long[] counts = results.get(serviceClass);
        return counts == null ? 0 : counts[result.ordinal()];
    }

    /** The number of requests of all classes with this result. */
    public long count(RequestResult result) {
        return results.values().stream().mapToLong(counts -> counts[result.ordinal()]).sum();
    }

    /** Counts the reason for which a request of this class was refused or failed. */
    void countReason(String serviceClass, Reason reason) {
        reasons.computeIfAbsent(serviceClass, s -> new long[Reason.values().length])[reason.ordinal()]++;
    }

    /**
     * The number of refused and failed requests by class and reason code, in alphabetical order, without zero counts.
     */
    public Map<String, Map<String, Long>> reasons() {
        Map<String, Map<String, Long>> all = new TreeMap<>();
        reasons.forEach((serviceClass, counts) -> {
            Map<String, Long> byCode = new TreeMap<>();
            for (Reason r : Reason.values()) {
                if (counts[r.ordinal()] > 0) {
                    byCode.put(r.code(), counts[r.ordinal()]);
                }
            }
            all.put(serviceClass, byCode);
        });
        return all;
    }

    /** The number of requests of all classes that were refused or failed for this reason. */
    public long reasonCount(Reason reason) {
        return reasons.values().stream().mapToLong(c -> c[reason.ordinal()]).sum();
    }

    /** Counts the outcome of an attempt. */
    void attemptEnded(Outcome outcome) {
        outcomes[outcome.ordinal()]++;
    }

    /** Adds the counts of {@code other} to these and returns this object. */
    public RequestCounters add(RequestCounters other) {
        requests += other.requests;
        attemptsWritten += other.attemptsWritten;
        other.results.forEach((serviceClass, counts) -> {
            long[] own = results.computeIfAbsent(serviceClass, s -> new long[counts.length]);
            for (int i = 0; i < counts.length; i++) {
                own[i] += counts[i];
            }
        });
        for (int i = 0; i < outcomes.length; i++) {
            outcomes[i] += other.outcomes[i];
        }
        other.reasons.forEach((serviceClass, counts) -> {
            long[] own = reasons.computeIfAbsent(serviceClass, s -> new long[counts.length]);
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
                + (reasons.isEmpty() ? "" : " reasons: " + Arrays.stream(Reason.values())
                        .filter(r -> reasonCount(r) > 0)
                .map(r -> r.code() + "=" + reasonCount(r)).collect(Collectors.joining(" ")));
    }
}
