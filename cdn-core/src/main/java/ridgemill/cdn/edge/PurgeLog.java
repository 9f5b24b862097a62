package ridgemill.cdn.edge;

import java.util.HashMap;
import java.util.Map;

/**
 * The recently received purges. A copy that another process kept is compared with this log before it is served: it may
 * be older than a purge that the other process has not received yet.
 */
public final class PurgeLog {

    /** How long a purge is kept, in milliseconds: longer than the lag of any connected process. */
    public static final double RETENTION_MS = 10_000;

    private final Map<String, Double> pathPurgedAtMs = new HashMap<>();
    private final Map<String, Double> tagPurgedAtMs = new HashMap<>();

    /** Records a purge of the object with this cache key. */
    public void recordPath(String key, double nowMs) {
        pathPurgedAtMs.put(key, nowMs);
    }

    /** Records a purge of all objects that carry this tag. */
    public void recordTag(String tag, double nowMs) {
        tagPurgedAtMs.put(tag, nowMs);
    }

    /** When the object with this key was last purged by its path; negative infinity if no purge is recorded. */
    public double lastPurgedMs(String key) {
        return pathPurgedAtMs.getOrDefault(key, Double.NEGATIVE_INFINITY);
    }

    /** When an object was last purged, by its path or one of its tags; negative infinity if no purge is recorded. */
    public double lastPurgedMs(CachedObject copy) {
        double last = lastPurgedMs(copy.key());
        for (String tag : copy.tags()) {
            last = Math.max(last, tagPurgedAtMs.getOrDefault(tag, Double.NEGATIVE_INFINITY));
        }
        return last;
    }

    /** Removes purges older than {@link #RETENTION_MS}. */
    public void removeExpired(double nowMs) {
        pathPurgedAtMs.values().removeIf(atMs -> nowMs - atMs > RETENTION_MS);
        tagPurgedAtMs.values().removeIf(atMs -> nowMs - atMs > RETENTION_MS);
    }
}
