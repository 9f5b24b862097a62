package ridgemill.cdn.edge;

import java.util.List;

/**
 * A whole object as an instance answered it.
 *
 * @param key host and path with query
 * @param headers names and values of the headers to give again, in turn
 * @param etag its entity tag; null if it has none
 * @param tags the tags by which it may be purged
 * @param body its bytes
 * @param fetchStartedMs when the fetch from an instance that brought or confirmed it began, in milliseconds; its age counts
 *     from there
 * @param purgeCoverageSinceMs from when on this process has to have heard of all purges of it: when it asked for it, also where the
 *     answer was a copy of another process that had heard of all before, in milliseconds
 */
public record CachedObject(
        String key,
        List<String> headers,
        String etag,
        List<String> tags,
        byte[] body,
        double fetchStartedMs,
        double purgeCoverageSinceMs) {

    /** A copy that this process fetched from an instance itself. */
    public CachedObject(
            String key, List<String> headers, String etag, List<String> tags, byte[] body, double fetchStartedMs) {
        this(key, headers, etag, tags, body, fetchStartedMs, fetchStartedMs);
    }

    /** What a copy costs besides its body, in bytes, roughly. */
    private static final int OVERHEAD_BYTES = 1_024;
    /** The part of the time that a copy is kept for after which it may be fetched anew. */
    private static final double REFRESH_AFTER_FRACTION = 0.85;
    /** Uses of a copy from which on it is asked for often: more than one is due in the part that is left. */
    private static final int MIN_USES_FOR_REFRESH = 8;

    /** The memory it takes, in bytes, roughly. */
    public long sizeBytes() {
        return OVERHEAD_BYTES + body.length;
    }

    /** Whether it may be given out at this time on a route that keeps copies so long. */
    public boolean isFresh(double nowMs, long cacheTtlMs) {
        return nowMs - fetchStartedMs < cacheTtlMs;
    }

    /**
     * Whether it is to be fetched anew ahead of its end, so that nobody has to wait: its end is near, and it is asked
     * for so often that somebody will ask after that.
     *
     * @param uses how often it was given out since it was fetched
     */
    public boolean isDueForRefresh(double nowMs, long cacheTtlMs, int uses) {
        return uses >= MIN_USES_FOR_REFRESH && nowMs - fetchStartedMs >= REFRESH_AFTER_FRACTION * cacheTtlMs;
    }

    /** The same copy after a fetch from an instance that began then found it unchanged. */
    public CachedObject revalidated(double startedMs) {
        return revalidated(startedMs, startedMs);
    }

    /** The same copy after it was found unchanged, see the parameters of the copy. */
    public CachedObject revalidated(double startedMs, double checkMs) {
        return new CachedObject(key, headers, etag, tags, body, startedMs, checkMs);
    }
}
