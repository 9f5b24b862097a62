package ridgemill.lease;

/**
 * The times that leases go by, in milliseconds of true time unless it says otherwise.
 *
 * @param lengthMs what a vote is good for
 * @param drift by how much any clock may run fast or slow, as a share of true time
 * @param marginMs by how much earlier a holder stops: what it may be held up between looking at its clock and the wire
 * @param answerMs within which an answer to a question mostly comes; how long duels and repeats take
 */
public record LeasePolicy(double lengthMs, double drift, double marginMs, double answerMs) {

    /** Beyond this a clock is broken and no lease can be trusted to it. */
    public static final double MAX_DRIFT = 0.2;
    private static final int MIN_ANSWERS = 4;

    /** Three seconds, clocks within 5%, 200 ms of margin, answers within 100 ms. */
    public static final LeasePolicy DEFAULT = new LeasePolicy(3000, 0.05, 200, 100);

    public LeasePolicy {
        if (!(lengthMs > 0 && drift >= 0 && drift <= MAX_DRIFT && marginMs >= 0 && answerMs > 0)) {
            throw new IllegalArgumentException("no such leases: length " + lengthMs + " ms, drift " + drift + ", margin " + marginMs
                    + " ms, answer " + answerMs + " ms");
        }
        if (lengthMs * (1 - drift) - marginMs < MIN_ANSWERS * answerMs) {
            throw new IllegalArgumentException("a holder would have " + (lengthMs * (1 - drift) - marginMs) + " ms, which is less than "
                    + MIN_ANSWERS + " answers of " + answerMs + " ms");
        }
    }

    /** How long a holder may act, by its own clock, from when it asked: even a slow clock shows that much before the length is over. */
    public double holdMs() {
        return lengthMs * (1 - drift) - marginMs;
    }

    /** How long a voter keeps its word, by its own clock, from when it answered: even a fast clock shows that much only after it. */
    public double promiseMs() {
        return lengthMs * (1 + drift);
    }
}
