package ridgemill.cdn.edge;

import java.util.HashMap;
import java.util.Map;

/**
 * The purges that were heard of lately. A copy that another process kept may be older than one of them, if that process
 * has not heard of it yet: it is compared with this log before it is given out.
 */
public final class PurgeLog {

    /** For how long a purge is remembered, in milliseconds: longer than any process that is in touch lags behind. */
    public static final double MEMORY_MS = 10_000;

    private final Map<String, Double> pathsMs = new HashMap<>();
    private final Map<String, Double> tagsMs = new HashMap<>();

    /** All copies of an object were purged. */
    public void path(String key, double nowMs) {
        pathsMs.put(key, nowMs);
    }

    /** All copies that carry a tag were purged. */
    public void tag(String tag, double nowMs) {
        tagsMs.put(tag, nowMs);
    }

    /** When the object was last purged; negative infinity if that is not known. */
    public double lastMs(String key) {
        return pathsMs.getOrDefault(key, Double.NEGATIVE_INFINITY);
    }

    /** When a copy was last purged, by its path or one of its tags; negative infinity if that is not known. */
    public double lastMs(CachedObject copy) {
        double last = lastMs(copy.key());
        for (String tag : copy.tags()) {
            last = Math.max(last, tagsMs.getOrDefault(tag, Double.NEGATIVE_INFINITY));
        }
        return last;
    }

    /** Forgets what is too old to matter. */
    public void forgetOld(double nowMs) {
        pathsMs.values().removeIf(atMs -> nowMs - atMs > MEMORY_MS);
        tagsMs.values().removeIf(atMs -> nowMs - atMs > MEMORY_MS);
    }
}
