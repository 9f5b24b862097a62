package ridgemill.cdn.edge;

import ridgemill.limit.Rate;
import ridgemill.limit.TokenBucket;

/**
 * This proxy's share of the rate that all instances of one service together may receive. It refuses at once when the
 * share is used up. A burst stays well below what the rules tolerate over their window if all proxies have theirs at
 * once.
 */
public final class OriginShare {

    /** The burst, as seconds' worth of the share. */
    private static final double BURST_SECONDS = 0.35;

    private static final double MIN_BURST = 1;
    private static final double MS_PER_SECOND = 1_000;
    /** Left of the share, as clocks and counts differ. */
    private static final double USED_FRACTION = 0.98;

    /** What a client is told to wait where this process has no share, in milliseconds: others have one. */
    private static final double CLOSED_WAIT_MS = 100;

    private static final double MIN_RATE_PER_SECOND = 0.01;
    /** The part of the burst that is kept for clients who wait. */
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
     * A share that is not bounded yet.
     *
     * @param overage the multiple of the rate that all proxies together may reach over a window, above 1
     * @param windowMs the length of that window, in milliseconds
     */
    public OriginShare(double overage, double windowMs) {
        this.overage = overage;
        this.windowSeconds = windowMs / MS_PER_SECOND;
        this.window = new SlidingWindowCounter(windowMs);
    }

    /** Whether no more was sent in the last window than the greatest part that was set in it allows. */
    public boolean isWithinShare() {
        return sentInWindow <= windowLimit;
    }

    private void updateWindowLimit(double most, double nowMs) {
        // Until the window has passed, what an earlier, greater part allowed may be in it.
        if (most >= windowLimit || nowMs >= windowLimitUntilMs || Double.isInfinite(windowLimit)) {
            windowLimit = most;
            windowLimitUntilMs = nowMs + windowSeconds * MS_PER_SECOND;
        }
    }

    /** Sets the share to a part of the service's rate. */
    public void assign(RateDivision.Share part, double nowMs) {
        if (part instanceof RateDivision.Share.Bounded bounded) {
            perSecond = bounded.perSecond();
            closed = false;
            limit(new Rate(bounded.perSecond(), bounded.burst()), nowMs);
            updateWindowLimit(bounded.perSecond() * windowSeconds + bounded.burst() + 1, nowMs);
        } else {
            perSecond = 0;
            bucket = null;
            windowLimit = Double.POSITIVE_INFINITY;
            closed = part instanceof RateDivision.Share.None;
        }
    }

    /** Sets the share, in requests a second; 0 or less where there is no bound. */
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
        // A burst of one is more than its part of a small share: many proxies' bursts together would pass the ceiling.
        double beyondBurst = overage * requestsPerSecond - burst / windowSeconds;
        Rate rate = new Rate(
                Math.max(MIN_RATE_PER_SECOND, Math.min(USED_FRACTION * requestsPerSecond, beyondBurst)), burst);
        limit(rate, nowMs);
    }

    private void limit(Rate rate, double nowMs) {
        if (bucket == null) {
            bucket = new TokenBucket(rate, nowMs);
        } else {
            bucket.changeTo(rate, nowMs);
        }
    }

    /** The share, in requests a second; 0 or less where there is no bound. */
    public double perSecond() {
        return perSecond;
    }

    /** Takes one arrival from the share if it allows one. */
    public boolean tryTake(double nowMs) {
        boolean taken = !closed && (bucket == null || bucket.tryTake(nowMs));
        if (taken) {
            sentInWindow = window.add(1, nowMs);
        }
        return taken;
    }

    /** Whether so much of the share is left that work may be done which no client waits for. */
    public boolean hasBackgroundCapacity(double nowMs) {
        return !closed && bucket == null
                || bucket != null && bucket.tokens(nowMs) >= 1 + bucket.rate().burst() * CLIENT_BURST_FRACTION;
    }

    /** Gives back an arrival that did not take place. */
    public void giveBack(double nowMs) {
        sentInWindow = window.add(-1, nowMs);
        if (bucket != null) {
            bucket.giveBack(nowMs);
        }
    }

    /** How long until the share allows another arrival, in milliseconds. */
    public double waitMs(double nowMs) {
        return closed ? CLOSED_WAIT_MS : bucket == null ? 0 : bucket.waitMs(nowMs);
    }
}
