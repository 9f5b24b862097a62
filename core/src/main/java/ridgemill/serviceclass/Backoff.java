package ridgemill.serviceclass;

/**
 * Exponential backoff between the attempts of a request.
 *
 * @param initialMs wait before the second attempt, in milliseconds; 0 or more
 * @param factor growth of the wait with each further attempt; 1 or more
 * @param maxMs upper limit of the wait, in milliseconds; at least {@code initialMs}
 */
public record Backoff(double initialMs, double factor, double maxMs) {

    /** No wait: the next attempt starts at once. */
    public static final Backoff NONE = new Backoff(0, 1, 0);

    /** Checks the ranges. */
    public Backoff {
        if (!(initialMs >= 0) || !(factor >= 1) || !(maxMs >= initialMs)) {
            throw new IllegalArgumentException(
                    "backoff: initialMs must be at least 0, factor at least 1, and maxMs at least initialMs");
        }
    }

    /** The wait before an attempt, in milliseconds. Attempts are numbered from 1; the first has no wait. */
    public double delayBeforeMs(int attempt) {
        return attempt <= 1 ? 0 : Math.min(maxMs, initialMs * Math.pow(factor, attempt - 2.0));
    }
}
