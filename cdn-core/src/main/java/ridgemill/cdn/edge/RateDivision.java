package ridgemill.cdn.edge;

import ridgemill.cdn.membership.CachePosition;
import ridgemill.cdn.membership.FleetPosition;

/**
 * Divides the rate that all instances of a service together may receive among the processes that send to them. The
 * long-term rates and bursts of all shares never add up to more than is tolerated within a window, however many
 * processes there are: if the rate is too small for one request of each process, only some of them get a share.
 */
public final class RateDivision {

    /** The share of one process. */
    public sealed interface Share {

        /** The service has no rate limit. */
        record Unbounded() implements Share {}

        /** The process may send nothing. */
        record None() implements Share {}

        /**
         * A rate limit with a burst.
         *
         * @param perSecond the long-term rate in requests per second
         * @param burst how many requests may be sent at once after a pause, 1 or more
         */
        record Bounded(double perSecond, double burst) implements Share {}
    }

    private static final Share UNBOUNDED = new Share.Unbounded();
    private static final Share NONE = new Share.None();
    /** The fraction of the rate that is used, since clocks and counts of processes differ. */
    private static final double USED_FRACTION = 0.98;
    /**
     * The burst of all processes together, in seconds of the rate, if that is enough for one request of each process.
     */
    private static final double BURST_SECONDS = 0.5;
    /**
     * The maximum fraction of a window's requests that bursts may use so that more processes can have one request each.
     */
    private static final double MAX_BURST_FRACTION = 0.5;
    /**
     * The fraction of the rate for shared caches, if there are any; proxies use the rest when no shared cache answers.
     */
    private static final double CACHES_FRACTION = 0.9;

    private static final double MIN_RATE_PER_SECOND = 0.01;
    private static final double MS_PER_SECOND = 1_000;

    private final double overage;
    private final double windowSeconds;

    /**
     * A division for the given limits.
     *
     * @param overage the multiple of the rate that all processes together may reach within a window, above 1
     * @param windowMs the length of that window, in milliseconds
     */
    public RateDivision(double overage, double windowMs) {
        this.overage = overage;
        this.windowSeconds = windowMs / MS_PER_SECOND;
    }

    /**
     * The share of a shared cache.
     *
     * @param ratePerSecond the service's rate in requests per second; 0 or less for no limit
     * @param position the position among the shared caches
     */
    public Share forCache(double ratePerSecond, CachePosition position) {
        return divide(ratePerSecond, CACHES_FRACTION / position.region().size(), position.inRegion());
    }

    /**
     * The share of an edge proxy.
     *
     * @param ratePerSecond the service's rate in requests per second; 0 or less for no limit
     * @param proxies the position among the edge proxies
     * @param cachesSend whether shared caches send requests too
     */
    public Share forProxy(double ratePerSecond, FleetPosition proxies, boolean cachesSend) {
        return divide(ratePerSecond, cachesSend ? 1 - CACHES_FRACTION : 1, proxies);
    }

    private Share divide(double ratePerSecond, double fraction, FleetPosition position) {
        if (ratePerSecond <= 0) {
            return UNBOUNDED;
        }
        double rate = ratePerSecond * fraction;
        double maxInWindow = overage * rate * windowSeconds;
        double bursts = Math.max(
                BURST_SECONDS * USED_FRACTION * rate, Math.min(position.size(), MAX_BURST_FRACTION * maxInWindow));
        int members = (int) Math.max(1, Math.min(position.size(), Math.floor(bursts)));
        if (position.rank() >= members) {
            return NONE;
        }
        double perSecond = Math.min(USED_FRACTION * rate, (maxInWindow - bursts) / windowSeconds) / members;
        return new Share.Bounded(Math.max(MIN_RATE_PER_SECOND, perSecond), Math.max(1, bursts / members));
    }
}
