package ridgemill.policy;

/** Token bucket that refuses at once when it is empty and keeps its last token for high priority. */
public final class PriorityTokenBucket {

    /** Capacity in tokens; small, so that a pause does not allow a burst. */
    public static final double DEFAULT_CAPACITY = 4;

    double tokens;
    private final double capacity;
    private double ratePerS = Double.POSITIVE_INFINITY;
    private double filledAt;
    private int refusals;

    /** Creates a full bucket without a rate limit. */
    public PriorityTokenBucket(double capacity) {
        this.capacity = capacity;
        this.tokens = capacity;
    }

    /** Sets the refill rate in tokens per second and resets the count of refusals. */
    public void setRate(double now, double newRatePerS) {
        refill(now);
        ratePerS = newRatePerS;
        refusals = 0;
    }

    /** The refill rate in tokens per second; infinite without a limit. */
    public double ratePerS() {
        return ratePerS;
    }

    /** Number of tokens refused since the rate was last set. */
    public int refusals() {
        return refusals;
    }

    /** Takes a token if one is available; at low priority only if a second one remains. */
    public boolean tryAcquire(double now, boolean lowPriority) {
        refill(now);
        if (tokens < (lowPriority ? 2 : 1)) {
            refusals++;
            return false;
        }
        tokens--;
        return true;
    }

    private void refill(double now) {
        double gained = ratePerS == Double.POSITIVE_INFINITY ? capacity : (now - filledAt) * ratePerS / 1000;
        tokens = Math.min(capacity, tokens + gained);
        filledAt = now;
    }
}
