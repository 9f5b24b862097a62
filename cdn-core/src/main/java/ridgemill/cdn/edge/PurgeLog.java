package ridgemill.cdn.edge;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * The recently received purges, each with the latest time at which it may have been published. The result of a fetch is
 * compared with this log before it is served or stored: it may be older than a purge that arrived before or during the
 * fetch.
 */
public final class PurgeLog {

    /** How long before the oldest fetch in progress a purge is kept, in milliseconds. */
    public static final double RETENTION_MS = 10_000;

    private final Map<String, Deque<Double>> pathPurgedAtMs = new HashMap<>();
    private final Map<String, Deque<Double>> tagPurgedAtMs = new HashMap<>();

    /** Records a purge of the object with this cache key. */
    public void recordPath(String key, double atMs) {
        pathPurgedAtMs.computeIfAbsent(key, k -> new ArrayDeque<>(2)).add(atMs);
    }

    /** Records a purge of all objects that carry this tag. */
    public void recordTag(String tag, double atMs) {
        tagPurgedAtMs.computeIfAbsent(tag, t -> new ArrayDeque<>(2)).add(atMs);
    }

    /** When the object with this key was last purged by its path; negative infinity if no purge is recorded. */
    public double lastPurgedMs(String key) {
        return lastUntil(pathPurgedAtMs.get(key), Double.POSITIVE_INFINITY);
    }

    /** When an object was last purged, by its path or one of its tags; negative infinity if no purge is recorded. */
    public double lastPurgedMs(CachedObject copy) {
        return lastPurgedMs(copy, Double.POSITIVE_INFINITY);
    }

    /** Whether a copy is older than a purge of it that was recorded until a time. */
    public boolean isPurged(CachedObject copy, double untilMs) {
        return copy.fetchStartedMs() < lastPurgedMs(copy, untilMs);
    }

    private double lastPurgedMs(CachedObject copy, double untilMs) {
        double last = lastUntil(pathPurgedAtMs.get(copy.key()), untilMs);
        for (String tag : copy.tags()) {
            last = Math.max(last, lastUntil(tagPurgedAtMs.get(tag), untilMs));
        }
        return last;
    }

    private static double lastUntil(Deque<Double> purgedAtMs, double untilMs) {
        double last = Double.NEGATIVE_INFINITY;
        if (purgedAtMs != null) {
            for (double atMs : purgedAtMs) {
                last = atMs < untilMs ? Math.max(last, atMs) : last;
            }
        }
        return last;
    }

    /**
     * Removes purges that are older by more than {@link #RETENTION_MS} than the oldest fetch in progress.
     *
     * @param oldestFetchMs when that fetch started; the current time if there is none
     */
    public void removeExpired(double oldestFetchMs) {
        removeBefore(pathPurgedAtMs, oldestFetchMs - RETENTION_MS);
        removeBefore(tagPurgedAtMs, oldestFetchMs - RETENTION_MS);
    }

    private static void removeBefore(Map<String, Deque<Double>> purgedAtMs, double firstKeptMs) {
        purgedAtMs.values().removeIf(times -> {
            times.removeIf(atMs -> atMs < firstKeptMs);
            return times.isEmpty();
        });
    }
}
