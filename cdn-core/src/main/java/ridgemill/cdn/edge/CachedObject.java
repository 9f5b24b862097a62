package ridgemill.cdn.edge;

import java.util.List;
import ridgemill.cdn.purge.Purge;

/**
 * A complete cached response of an instance.
 *
 * @param key the cache key: the host and the path with its query
 * @param headers the headers to send with the object, names and values in turn
 * @param etag the entity tag; null if there is none
 * @param tags the tags by which the object may be purged
 * @param body the body
 * @param fetchStartedMs when the fetch from an instance that delivered or revalidated the object started, in
 *     milliseconds; the age counts from this time
 * @param knownUntilMs a time until which no acknowledged purge of the object was missed, whatever this process knows, in
 *     milliseconds: when the fetch from the instance started, or until when the shared cache that had the copy knew of
 *     all purges
 * @param fetchedFrom the instance that delivered the object, and the shared cache through which it came if there was
 *     one, for logs
 */
public record CachedObject(
        String key,
        List<String> headers,
        String etag,
        List<String> tags,
        byte[] body,
        double fetchStartedMs,
        double knownUntilMs,
        String fetchedFrom) {

    /** An object that this process fetched from an instance itself. */
    public CachedObject(
            String key, List<String> headers, String etag, List<String> tags, byte[] body, double fetchStartedMs) {
        this(key, headers, etag, tags, body, fetchStartedMs, fetchStartedMs, "");
    }

    /** The estimated memory that an object takes besides its body, in bytes. */
    private static final int OVERHEAD_BYTES = 1_024;
    /** The fraction of its TTL after which an object may be refreshed ahead of its expiry. */
    private static final double REFRESH_AFTER_FRACTION = 0.85;
    /**
     * The minimum number of uses for a refresh: at this rate more than one further use is to be expected in the rest of
     * the TTL.
     */
    private static final int MIN_USES_FOR_REFRESH = 8;

    /**
     * The time from which this process must know of all acknowledged purges to use the object after
     * {@link #knownUntilMs}, in milliseconds. A purge that was acknowledged after that time may have been published
     * earlier by the time that an acknowledgement takes.
     */
    public double purgeCoverageSinceMs() {
        return Math.max(fetchStartedMs, knownUntilMs - Purge.ACKNOWLEDGEMENT_TIMEOUT_MS);
    }

    /** The estimated memory that this object takes, in bytes. */
    public long sizeBytes() {
        return OVERHEAD_BYTES + body.length;
    }

    /** Whether the object is fresh on a route with this TTL, in milliseconds. */
    public boolean isFresh(double nowMs, long cacheTtlMs) {
        return nowMs - fetchStartedMs < cacheTtlMs;
    }

    /**
     * Whether the object is due for a refresh ahead of its expiry, so that no client has to wait for a fetch: it
     * expires soon and is used often enough that a further request is to be expected.
     *
     * @param uses how often it was served since it was fetched
     */
    public boolean isDueForRefresh(double nowMs, long cacheTtlMs, int uses) {
        return uses >= MIN_USES_FOR_REFRESH && nowMs - fetchStartedMs >= REFRESH_AFTER_FRACTION * cacheTtlMs;
    }

    /** This object after a fetch from an instance, started at the given time, has revalidated it. */
    public CachedObject revalidated(double startedMs) {
        return revalidated(startedMs, startedMs, fetchedFrom);
    }

    /**
     * This object after it was revalidated, with new values of {@code fetchStartedMs}, {@code knownUntilMs} and
     * {@code fetchedFrom}.
     */
    public CachedObject revalidated(double startedMs, double newKnownUntilMs, String revalidatedFrom) {
        return new CachedObject(key, headers, etag, tags, body, startedMs, newKnownUntilMs, revalidatedFrom);
    }
}
