package ridgemill.version;

import java.util.Map;
import java.util.TreeMap;
import ridgemill.core.RequestCounters.RequestResult;
import ridgemill.core.VersionTracker;
import ridgemill.policy.Reason;

/**
 * A period in which a process took requests under one version, with the counts of those requests. Used by one thread.
 */
public final class VersionPeriod implements VersionTracker.RequestVersion {

    private final long index;
    private final EffectiveVersion version;
    private final double startMs;
    private final String cause;
    private final String label;
    private final Map<String, long[]> endCounts = new TreeMap<>();
    private double endMs = Double.NaN;
    private long begun;
    private long attempts;

    VersionPeriod(long index, EffectiveVersion version, double startMs, String cause, String label) {
        this.label = label;
        this.index = index;
        this.version = version;
        this.startMs = startMs;
        this.cause = cause;
    }

    /** Counts a request that was taken under this version; {@link #requestEnded} must be called for it. */
    public void requestBegan() {
        begun++;
    }

    /** Counts the end of a request that was taken under this version, also after the period has ended. */
    @Override
    public void requestEnded(double nowMs, String service, RequestResult result, Reason reason) {
        endCounts.computeIfAbsent(service, s -> new long[RequestResult.values().length])[result.ordinal()]++;
    }

    /** Counts an attempt of such a request that was completely written to a node. */
    @Override
    public void attemptWritten() {
        attempts++;
    }

    @Override
    public String versionLabel() {
        return label;
    }

    void close(double atMs) {
        endMs = atMs;
    }

    /** Returns the period's index in the history of the process, from 0. */
    public long index() {
        return index;
    }

    public EffectiveVersion version() {
        return version;
    }

    public double startMs() {
        return startMs;
    }

    /** Returns the time at which the next period began; NaN for the current one. */
    public double endMs() {
        return endMs;
    }

    /** Returns why the period began. */
    public String cause() {
        return cause;
    }

    /** Returns the number of requests taken under this version. */
    public long begun() {
        return begun;
    }

    /** Returns the number of attempts of such requests that were completely written. */
    public long attempts() {
        return attempts;
    }

    /** Returns the number of requests of a service class that ended with this result. */
    public long count(String service, RequestResult result) {
        long[] counts = endCounts.get(service);
        return counts == null ? 0 : counts[result.ordinal()];
    }

    /** Returns the number of requests of all service classes that ended with this result. */
    public long count(RequestResult result) {
        return endCounts.values().stream().mapToLong(counts -> counts[result.ordinal()]).sum();
    }

    /** Returns the number of requests that have no final answer yet. */
    public long openRequests() {
        long ended = 0;
        for (RequestResult result : RequestResult.values()) {
            ended += count(result);
        }
        return begun - ended;
    }

    /** Returns the names of the service classes of which requests have ended, sorted. */
    public Iterable<String> classNames() {
        return endCounts.keySet();
    }
}
