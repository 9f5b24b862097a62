package ridgemill.cdn.edge;

import ridgemill.cdn.membership.CachePosition;
import ridgemill.cdn.membership.FleetPosition;

/**
 * Divides the rate that all instances of a service together may receive among the processes that send to them. The
 * parts' long-run rates and bursts never add up to more than the rules tolerate over their window, however many
 * processes there are: where the whole is too small for one request of each, only some get a part.
 */
public final class RateDivision {

    /** What one process may send. */
    public sealed interface Share {

        /** As much as it likes: the service has no bound. */
        record Unbounded() implements Share {}

        /** Nothing. */
        record None() implements Share {}

        /**
         * A rate with a burst.
         *
         * @param perSecond requests a second in the long run
         * @param burst how many may be sent at once after a pause, 1 or more
         */
        record Bounded(double perSecond, double burst) implements Share {}
    }

    private static final Share UNBOUNDED = new Share.Unbounded();
    private static final Share NONE = new Share.None();
    /** Left of the rate, as clocks and counts differ. */
    private static final double USED_FRACTION = 0.98;
    /** The burst of all together, as seconds' worth of the rate, where that is enough for one request of each. */
    private static final double BURST_SECONDS = 0.5;
    /** The part of a window's requests that bursts may take up where more members need one each. */
    private static final double MAX_BURST_FRACTION = 0.5;
    /** The part of the rate that shared caches have, where there are any; the rest is the proxies' for when none answers. */
    private static final double CACHES_FRACTION = 0.9;

    private static final double MIN_RATE_PER_SECOND = 0.01;
    private static final double MS_PER_SECOND = 1_000;

    private final double overage;
    private final double windowSeconds;

    /**
     * A division by the rules' figures.
     *
     * @param overage the multiple of the rate that all processes together may reach over a window, above 1
     * @param windowMs the length of that window, in milliseconds
     */
    public RateDivision(double overage, double windowMs) {
        this.overage = overage;
        this.windowSeconds = windowMs / MS_PER_SECOND;
    }

    /**
     * The part of a shared cache.
     *
     * @param whole the service's rate in requests a second; 0 or less where there is no bound
     * @param place its place among the shared caches
     */
    public Share forCache(double whole, CachePosition place) {
        return divide(whole, CACHES_FRACTION / place.region().size(), place.inRegion());
    }

    /**
     * The part of an edge proxy.
     *
     * @param whole the service's rate in requests a second; 0 or less where there is no bound
     * @param proxies its place among the edge proxies
     * @param besideCaches whether shared caches send too
     */
    public Share forProxy(double whole, FleetPosition proxies, boolean besideCaches) {
        return divide(whole, besideCaches ? 1 - CACHES_FRACTION : 1, proxies);
    }

    private Share divide(double whole, double fraction, FleetPosition position) {
        if (whole <= 0) {
            return UNBOUNDED;
        }
        double rate = whole * fraction;
        double mostInWindow = overage * rate * windowSeconds;
        double bursts = Math.max(
                BURST_SECONDS * USED_FRACTION * rate, Math.min(position.size(), MAX_BURST_FRACTION * mostInWindow));
        int members = (int) Math.max(1, Math.min(position.size(), Math.floor(bursts)));
        if (position.rank() >= members) {
            return NONE;
        }
        double perSecond = Math.min(USED_FRACTION * rate, (mostInWindow - bursts) / windowSeconds) / members;
        return new Share.Bounded(Math.max(MIN_RATE_PER_SECOND, perSecond), Math.max(1, bursts / members));
    }
}
