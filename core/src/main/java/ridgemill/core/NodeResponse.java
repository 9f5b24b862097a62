package ridgemill.core;

/**
 * A node's complete response to an attempt. Its content may be held in a reused buffer and is valid until the call that
 * passes it returns; a receiver that needs it longer must retain it before that.
 *
 * @param content the value, opaque here
 * @param cacheStatus cache status of a read, if nodes report it: {@link #HIT}, {@link #MISS}, {@link #PENDING},
 *     otherwise {@link #NO_CACHE_STATUS}
 * @param <C> the content type
 */
public record NodeResponse<C>(C content, int cacheStatus) {

    public static final int NO_CACHE_STATUS = 0;
    public static final int HIT = 1;
    public static final int MISS = 2;
    /** A miss while another fetch of the same key is in progress. */
    public static final int PENDING = 3;
}
