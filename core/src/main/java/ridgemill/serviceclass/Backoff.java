package ridgemill.serviceclass;

/**
 * How long a request waits between two of its attempts: so long at first, and each time so many times longer, up to a
 * bound.
 *
 * @param initialMs before the second attempt, in milliseconds; 0 or more
 * @param factor 1 or more
 * @param maxMs the bound, in milliseconds; no less than the first
 */
public record Backoff(double initialMs, double factor, double maxMs) {

    /** The next attempt goes out at once. */
    public static final Backoff NONE = new Backoff(0, 1, 0);

    public Backoff {
        if (!(initialMs >= 0) || !(factor >= 1) || !(maxMs >= initialMs)) {
            throw new IllegalArgumentException("a backoff is 0 or more, grows by 1 or more, and has a bound that is no less");
        }
    }

    /** The wait before an attempt, in milliseconds; attempts count from 1, and the first waits for nothing. */
    public double delayBeforeMs(int attempt) {
        return attempt <= 1 ? 0 : Math.min(maxMs, initialMs * Math.pow(factor, attempt - 2.0));
    }
}
