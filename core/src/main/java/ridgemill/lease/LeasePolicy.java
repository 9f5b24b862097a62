package ridgemill.lease;

/**
 * Times of leases, in milliseconds of true time unless stated otherwise.
 *
 * @param lengthMs how long a vote is valid
 * @param drift maximum deviation of any clock's rate from true time, as a fraction
 * @param marginMs how much earlier a holder stops, which covers delays between checking its clock and sending on the
 *     network
 * @param answerMs time within which most requests are answered; retries and waits after competing attempts are
 *     multiples of it
 */
public record LeasePolicy(double lengthMs, double drift, double marginMs, double answerMs) {

    /** Largest accepted drift. A clock beyond it is faulty, and a lease can't rely on it. */
    public static final double MAX_DRIFT = 0.2;
    /** A holder must have at least the time of this many answers. */
    private static final int MIN_ANSWERS = 4;

    /** Leases of 3 s, 5 % clock drift, 200 ms margin, answers within 100 ms. */
    public static final LeasePolicy DEFAULT = new LeasePolicy(3000, 0.05, 200, 100);

    /** Checks the ranges, and that enough of a lease is left for its holder. */
    public LeasePolicy {
        if (!(lengthMs > 0 && drift >= 0 && drift <= MAX_DRIFT && marginMs >= 0 && answerMs > 0)) {
            throw new IllegalArgumentException("no such leases: length " + lengthMs + " ms, drift " + drift
                    + ", margin " + marginMs + " ms, answer " + answerMs + " ms");
        }
        if (lengthMs * (1 - drift) - marginMs < MIN_ANSWERS * answerMs) {
            throw new IllegalArgumentException("a holder would have " + (lengthMs * (1 - drift) - marginMs)
                    + " ms, which is less than " + MIN_ANSWERS + " answers of " + answerMs + " ms");
        }
    }

    /**
     * Returns how long a holder may act, on its own clock, from the time of its request. Even a slow clock shows that
     * much before {@code lengthMs} has passed.
     */
    public double holdMs() {
        return lengthMs * (1 - drift) - marginMs;
    }

    /**
     * Returns how long a voter keeps a promise, on its own clock, from the time of its answer. Even a fast clock shows
     * that much only after {@code lengthMs} has passed.
     */
    public double promiseMs() {
        return lengthMs * (1 + drift);
    }
}
