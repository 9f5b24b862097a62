package ridgemill.limit;

/** A bucket that fills evenly and from which each request takes one token. Not safe for use by several threads. */
public final class TokenBucket {

    private static final double MS_PER_S = 1000;
    /** So little is missing by rounding alone. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    private Rate rate;
    private double tokens;
    private double lastFillMs;

    /** A full bucket. */
    public TokenBucket(Rate rate, double nowMs) {
        this(rate, rate.burst(), nowMs);
    }

    /** A bucket that holds so much, which is cut to the burst. */
    TokenBucket(Rate rate, double tokens, double nowMs) {
        this.rate = rate;
        this.tokens = Math.min(tokens, rate.burst());
        this.lastFillMs = nowMs;
    }

    /** Puts in tokens that were taken elsewhere; what does not fit comes back. */
    double add(double more, double nowMs) {
        fill(nowMs);
        double fits = Math.min(more, rate.burst() - tokens);
        tokens += fits;
        return more - fits;
    }

    /** Takes a token if one is there. */
    public boolean tryTake(double nowMs) {
        return tryTake(nowMs, 1);
    }

    /** Takes so many tokens, or parts of one, if they are there. */
    public boolean tryTake(double nowMs, double count) {
        fill(nowMs);
        if (tokens + ROUNDING_TOLERANCE < count) {
            return false;
        }
        tokens = Math.max(0, tokens - count);
        return true;
    }

    /** Gives a token back that was taken for a request that another limit then refused. */
    public void giveBack(double nowMs) {
        fill(nowMs);
        tokens = Math.min(rate.burst(), tokens + 1);
    }

    /** How long until a token will be there if nobody takes one, in milliseconds; 0 if one is. */
    public double waitMs(double nowMs) {
        fill(nowMs);
        return tokens + ROUNDING_TOLERANCE >= 1 ? 0 : (1 - tokens) / rate.perSecond() * MS_PER_S;
    }

    /** What it holds. */
    public double tokens(double nowMs) {
        fill(nowMs);
        return tokens;
    }

    public Rate rate() {
        return rate;
    }

    /** Goes on at another rate; what it holds stays, cut to the new burst. Returns what was cut off. */
    public double changeTo(Rate next, double nowMs) {
        fill(nowMs);
        rate = next;
        double cut = Math.max(0, tokens - next.burst());
        tokens -= cut;
        return cut;
    }

    private void fill(double nowMs) {
        double passed = Math.max(0, nowMs - lastFillMs);
        tokens = Math.min(rate.burst(), tokens + passed / MS_PER_S * rate.perSecond());
        lastFillMs = Math.max(lastFillMs, nowMs);
    }
}
