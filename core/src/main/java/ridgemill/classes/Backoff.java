package ridgemill.classes;

/**
 * How long a request waits between two of its attempts: so long at first, and each time so many times longer, up to a
 * bound.
 *
 * @param firstMs before the second attempt, in milliseconds; 0 or more
 * @param factor 1 or more
 * @param mostMs the bound, in milliseconds; no less than the first
 */
public record Backoff(double firstMs, double factor, double mostMs) {

    /** The next attempt goes out at once. */
    public static final Backoff NONE = new Backoff(0, 1, 0);

    public Backoff {
        if (!(firstMs >= 0) || !(factor >= 1) || !(mostMs >= firstMs)) {
            throw new IllegalArgumentException("a backoff is 0 or more, grows by 1 or more, and has a bound that is no less");
        }
    }

    /** The wait before an attempt, in milliseconds; attempts count from 1, and the first waits for nothing. */
    public double beforeMs(int attempt) {
        return attempt <= 1 ? 0 : Math.min(mostMs, firstMs * Math.pow(factor, attempt - 2.0));
    }
}
