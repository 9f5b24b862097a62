package ridgemill.policy;

/** Refills evenly, holds a few tokens, refuses at once and keeps its last token for higher worth. */
public final class PriorityTokenBucket {

    /** Tokens the bank holds: a few, so that a pause buys no burst. */
    public static final double DEFAULT_CAPACITY = 4;

    double tokens;
    private final double capacity;
    private double ratePerS = Double.POSITIVE_INFINITY;
    private double filledAt;
    private int refusals;

    /** A full bank that holds so many tokens and is unthrottled. */
    public PriorityTokenBucket(double capacity) {
        this.capacity = capacity;
        this.tokens = capacity;
    }

    /** Refills at so many tokens a second from now on, and counts refusals anew. */
    public void setRate(double now, double perS) {
        fill(now);
        ratePerS = perS;
        refusals = 0;
    }

    /** The tokens that it gains in a second. */
    public double ratePerS() {
        return ratePerS;
    }

    /** Draws refused since the rate was last set. */
    public int refusals() {
        return refusals;
    }

    /** Takes a token; low worth only while more than one is there. */
    public boolean tryAcquire(double now, boolean low) {
        fill(now);
        if (tokens < (low ? 2 : 1)) {
            refusals++;
            return false;
        }
        tokens--;
        return true;
    }

    private void fill(double now) {
        double gained = ratePerS == Double.POSITIVE_INFINITY ? capacity : (now - filledAt) * ratePerS / 1000;
        tokens = Math.min(capacity, tokens + gained);
        filledAt = now;
    }
}
