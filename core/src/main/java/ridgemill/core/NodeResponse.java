package ridgemill.core;

/**
 * A node's whole answer to an attempt. Its content may live in memory that is used again: it holds until the call that
 * passed it returns, and whoever needs it longer takes its own share of it before that.
 *
 * @param content the value, opaque here
 * @param cacheStatus how a read went, where nodes tell: {@link #HIT}, {@link #MISS}, {@link #PENDING}, else {@link #NO_CACHE_STATUS}
 * @param <C> the type of contents
 */
public record NodeResponse<C>(C content, int cacheStatus) {

    public static final int NO_CACHE_STATUS = 0;
    public static final int HIT = 1;
    public static final int MISS = 2;
    /** A miss while another fetch of the key is out. */
    public static final int PENDING = 3;
}
