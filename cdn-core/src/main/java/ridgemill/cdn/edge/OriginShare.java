package ridgemill.cdn.edge;

import ridgemill.limit.Rate;
import ridgemill.limit.TokenBucket;

/**
 * Limits the requests of this process to its share of the rate that all instances of one service together may receive.
 * A request beyond the share is refused at once. Bursts are small enough that the total stays well below the tolerated
 * number of requests in a window even if all processes burst at the same time.
 */
public final class OriginShare {

    /** The burst, in seconds of the share's rate. */
    private static final double BURST_SECONDS = 0.35;

    private static final double MIN_BURST = 1;
    private static final double MS_PER_SECOND = 1_000;
    /** The fraction of the share that is used, since clocks and counts of processes differ. */
    private static final double USED_FRACTION = 0.98;

    /** The wait that a client is told if this process has no share, in milliseconds: other processes have one. */
    private static final double CLOSED_WAIT_MS = 100;

    private static final double MIN_RATE_PER_SECOND = 0.01;
    /** The fraction of the burst that is reserved for requests that a client waits for. */
    private static final double CLIENT_BURST_FRACTION = 0.5;

    private final double overage;
    private final double windowSeconds;
    private double perSecond;
    private TokenBucket bucket;
    private boolean closed;
    private final SlidingWindowCounter window;
    private int sentInWindow;
    private double windowLimit = Double.POSITIVE_INFINITY;
    private double windowLimitUntilMs;

    /**
     * A share without a limit.
     *
     * @param overage the multiple of the rate that all processes together may reach within a window, above 1
     * @param windowMs the length of that window, in milliseconds
     */
    public OriginShare(double overage, double windowMs) {
        this.overage = overage;
        this.windowSeconds = windowMs / MS_PER_SECOND;
        this.window = new SlidingWindowCounter(windowMs);
    }

    /** Whether the requests sent in the last window are within the largest share that was set during it. */
    public boolean isWithinShare() {
        return sentInWindow <= windowLimit;
    }

    private void updateWindowLimit(double limit, double nowMs) {
        // Requests that an earlier, larger share allowed count until the window has passed.
        if (limit >= windowLimit || nowMs >= windowLimitUntilMs || Double.isInfinite(windowLimit)) {
            windowLimit = limit;
            windowLimitUntilMs = nowMs + windowSeconds * MS_PER_SECOND;
        }
    }

    /** Sets the share. */
    public void assign(RateDivision.Share share, double nowMs) {
        if (share instanceof RateDivision.Share.Bounded bounded) {
            perSecond = bounded.perSecond();
            closed = false;
            limit(new Rate(bounded.perSecond(), bounded.burst()), nowMs);
            updateWindowLimit(bounded.perSecond() * windowSeconds + bounded.burst() + 1, nowMs);
        } else {
            perSecond = 0;
            bucket = null;
            windowLimit = Double.POSITIVE_INFINITY;
            closed = share instanceof RateDivision.Share.None;
        }
    }

    /** Sets the share as a rate in requests per second; 0 or less for no limit. */
    public void setShare(double requestsPerSecond, double nowMs) {
        if (requestsPerSecond == perSecond) {
            return;
        }
        perSecond = requestsPerSecond;
        closed = false;
        if (requestsPerSecond <= 0) {
            bucket = null;
            return;
        }
        double burst = Math.max(MIN_BURST, BURST_SECONDS * USED_FRACTION * requestsPerSecond);
        // The minimum burst of one request is large for a small share: many such bursts would exceed the ceiling.
        double maxRate = overage * requestsPerSecond - burst / windowSeconds;
        Rate rate =
                new Rate(Math.max(MIN_RATE_PER_SECOND, Math.min(USED_FRACTION * requestsPerSecond, maxRate)), burst);
        limit(rate, nowMs);
    }

    private void limit(Rate rate, double nowMs) {
        if (bucket == null) {
            bucket = new TokenBucket(rate, nowMs);
        } else {
            bucket.changeTo(rate, nowMs);
        }
    }

    /** The share in requests per second; 0 or less if there is no limit, or if this process may send nothing. */
    public double perSecond() {
        return perSecond;
    }

    /** Takes one request from the share. Returns false if the share is used up. */
    public boolean tryTake(double nowMs) {
        boolean taken = !closed && (bucket == null || bucket.tryTake(nowMs));
        if (taken) {
            sentInWindow = window.add(1, nowMs);
        }
        return taken;
    }

    /** Whether enough of the share is left for a request that no client waits for. */
    public boolean hasBackgroundCapacity(double nowMs) {
        return !closed && bucket == null
                || bucket != null && bucket.tokens(nowMs) >= 1 + bucket.rate().burst() * CLIENT_BURST_FRACTION;
    }

    /** Returns a request that was taken and not sent. */
    public void giveBack(double nowMs) {
        sentInWindow = window.add(-1, nowMs);
        if (bucket != null) {
            bucket.giveBack(nowMs);
        }
    }

    /** The time until the share allows another request, in milliseconds. */
    public double waitMs(double nowMs) {
        return closed ? CLOSED_WAIT_MS : bucket == null ? 0 : bucket.waitMs(nowMs);
    }
}
