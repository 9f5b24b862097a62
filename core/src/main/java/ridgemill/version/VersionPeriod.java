package ridgemill.version;

import java.util.Map;
import java.util.TreeMap;
import ridgemill.core.RequestCounters.RequestResult;
import ridgemill.core.VersionTracker;
import ridgemill.policy.Reason;

/** A stretch of time in which a process took requests under one version, and what became of those. Used by one thread. */
public final class VersionPeriod implements VersionTracker.RequestVersion {

    private final long index;
    private final EffectiveVersion acting;
    private final double fromMs;
    private final String cause;
    private final String label;
    private final Map<String, long[]> ends = new TreeMap<>();
    private double untilMs = Double.NaN;
    private long begun;
    private long attempts;

    VersionPeriod(long index, EffectiveVersion acting, double fromMs, String cause, String label) {
        this.label = label;
        this.index = index;
        this.acting = acting;
        this.fromMs = fromMs;
        this.cause = cause;
    }

    /** A request was taken under it; {@link #requestEnded} is owed. */
    public void requestBegan() {
        begun++;
    }

    /** One of a class that was taken under it has ended so, now or long after. */
    @Override
    public void requestEnded(double nowMs, String service, RequestResult end, Reason why) {
        ends.computeIfAbsent(service, s -> new long[RequestResult.values().length])[end.ordinal()]++;
    }

    /** An attempt of such a request was written whole to a node. */
    @Override
    public void attemptWritten() {
        attempts++;
    }

    @Override
    public String versionLabel() {
        return label;
    }

    void close(double atMs) {
        untilMs = atMs;
    }

    /** Its place in the process' record, from 0. */
    public long index() {
        return index;
    }

    public EffectiveVersion version() {
        return acting;
    }

    public double startMs() {
        return fromMs;
    }

    /** When the next began; NaN for the one that goes on. */
    public double endMs() {
        return untilMs;
    }

    /** Why it began, in words. */
    public String cause() {
        return cause;
    }

    /** Requests taken under it. */
    public long begun() {
        return begun;
    }

    /** Attempts of such requests that were written whole. */
    public long attempts() {
        return attempts;
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

    /** Requests that have no final answer yet. */
    public long openRequests() {
        long over = 0;
        for (RequestResult end : RequestResult.values()) {
            over += count(end);
        }
        return begun - over;
    }

    /** The classes of which requests have ended, in the order of their names. */
    public Iterable<String> classNames() {
        return ends.keySet();
    }
}
