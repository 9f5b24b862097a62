package ridgemill.limit;

/**
 * A rate with a burst.
 *
 * @param perSecond requests a second in the long run; greater than 0
 * @param burst how many requests may come at once after a pause; at least 1
 */
public record Rate(double perSecond, double burst) {

    public Rate {
        if (!(perSecond > 0) || Double.isInfinite(perSecond)) {
            throw new IllegalArgumentException("a rate must be finite and greater than 0: " + perSecond);
        }
        if (!(burst >= 1) || Double.isInfinite(burst)) {
            throw new IllegalArgumentException("a burst must be finite and at least 1: " + burst);
        }
    }
}
