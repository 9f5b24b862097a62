package ridgemill.limit;

/** A token bucket that fills at a constant rate; each request takes one token. Not thread-safe. */
public final class TokenBucket {

    private static final double MS_PER_S = 1000;
    /** Tokens that may be missing because of rounding. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    private Rate rate;
    private double tokens;
    private double lastFillMs;

    /** A full bucket. */
    public TokenBucket(Rate rate, double nowMs) {
        this(rate, rate.burst(), nowMs);
    }

    /** A bucket with the given number of tokens, at most the burst. */
    TokenBucket(Rate rate, double tokens, double nowMs) {
        this.rate = rate;
        this.tokens = Math.min(tokens, rate.burst());
        this.lastFillMs = nowMs;
    }

    /** Adds tokens that were taken from another bucket; returns what does not fit. */
    double add(double count, double nowMs) {
        fill(nowMs);
        double fits = Math.min(count, rate.burst() - tokens);
        tokens += fits;
        return count - fits;
    }

    /** Takes a token if there is one. */
    public boolean tryTake(double nowMs) {
        return tryTake(nowMs, 1);
    }

    /** Takes this many tokens, or fractions of one, if they are there. */
    public boolean tryTake(double nowMs, double count) {
        fill(nowMs);
        if (tokens + ROUNDING_TOLERANCE < count) {
            return false;
        }
        tokens = Math.max(0, tokens - count);
        return true;
    }

    /** Gives back a token of a request that another limit then refused. */
    public void giveBack(double nowMs) {
        fill(nowMs);
        tokens = Math.min(rate.burst(), tokens + 1);
    }

    /** How long until a token is available if nobody takes one, in milliseconds; 0 if there is one. */
    public double waitMs(double nowMs) {
        fill(nowMs);
        return tokens + ROUNDING_TOLERANCE >= 1 ? 0 : (1 - tokens) / rate.perSecond() * MS_PER_S;
    }

    /** The tokens in the bucket. */
    public double tokens(double nowMs) {
        fill(nowMs);
        return tokens;
    }

    public Rate rate() {
        return rate;
    }

    /** Changes the rate and keeps the tokens up to the new burst. Returns the tokens that were cut off. */
    public double changeTo(Rate next, double nowMs) {
        fill(nowMs);
        rate = next;
        double cut = Math.max(0, tokens - next.burst());
        tokens -= cut;
        return cut;
    }

    private void fill(double nowMs) {
        double elapsedMs = Math.max(0, nowMs - lastFillMs);
        tokens = Math.min(rate.burst(), tokens + elapsedMs / MS_PER_S * rate.perSecond());
        lastFillMs = Math.max(lastFillMs, nowMs);
    }
}
