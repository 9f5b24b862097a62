package ridgemill.cdn.edge;

import java.util.HashMap;
import java.util.Map;

/**
 * The purges that were heard of lately. A copy that another process kept may be older than one of them, if that process
 * has not heard of it yet: it is compared with this log before it is given out.
 */
public final class PurgeLog {

    /** For how long a purge is remembered, in milliseconds: longer than any process that is in touch lags behind. */
    public static final double RETENTION_MS = 10_000;

    private final Map<String, Double> pathPurgedAtMs = new HashMap<>();
    private final Map<String, Double> tagPurgedAtMs = new HashMap<>();

    /** All copies of an object were purged. */
    public void recordPath(String key, double nowMs) {
        pathPurgedAtMs.put(key, nowMs);
    }

    /** All copies that carry a tag were purged. */
    public void recordTag(String tag, double nowMs) {
        tagPurgedAtMs.put(tag, nowMs);
    }

    /** When the object was last purged; negative infinity if that is not known. */
    public double lastPurgedMs(String key) {
        return pathPurgedAtMs.getOrDefault(key, Double.NEGATIVE_INFINITY);
    }

    /** When a copy was last purged, by its path or one of its tags; negative infinity if that is not known. */
    public double lastPurgedMs(CachedObject copy) {
        double last = lastPurgedMs(copy.key());
        for (String tag : copy.tags()) {
            last = Math.max(last, tagPurgedAtMs.getOrDefault(tag, Double.NEGATIVE_INFINITY));
        }
        return last;
    }

    /** Forgets what is too old to matter. */
    public void removeExpired(double nowMs) {
        pathPurgedAtMs.values().removeIf(atMs -> nowMs - atMs > RETENTION_MS);
        tagPurgedAtMs.values().removeIf(atMs -> nowMs - atMs > RETENTION_MS);
    }
}
