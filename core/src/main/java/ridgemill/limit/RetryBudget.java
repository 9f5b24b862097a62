package ridgemill.limit;

/**
 * Holds clients' retries to a share of their first tries, so that a fleet that fails is not asked several times as often
 * as one that works. Each first try adds the share to what retries may take; what is not taken is kept for a while and no
 * longer. A few retries a second go through however little is asked, or a quiet proxy would refuse its first one.
 *
 * <p>As in Finagle's and Envoy's retry budgets, over a window that fades instead of sliding, which needs no history.
 */
public final class RetryBudget {

    private static final double MS_PER_S = 1000;

    /**
     * The figures of a budget.
     *
     * @param retryRatio retries for each first try, 0 or more
     * @param minPerSecond retries a second that always go through, 0 or more
     * @param windowMs how long what was not taken is of use, greater than 0
     */
    public record Config(double retryRatio, double minPerSecond, double windowMs) {

        public Config {
            if (!(retryRatio >= 0) || !(minPerSecond >= 0) || !(windowMs > 0)) {
                throw new IllegalArgumentException("a retry budget needs a share and a least rate of 0 or more and a "
                        + "window greater than 0");
            }
        }
    }

    private Config config;
    private double firstTries;
    private double retries;
    private double updatedMs;

    public RetryBudget(Config terms, double nowMs) {
        this.config = terms;
        this.updatedMs = nowMs;
    }

    /** A first try has come. */
    public void recordFirstTry(double nowMs) {
        decay(nowMs);
        firstTries++;
    }

    /** Takes a retry from the budget if it has one left. */
    public boolean tryRetry(double nowMs) {
        decay(nowMs);
        if (retries + 1 > allowed()) {
            return false;
        }
        retries++;
        return true;
    }

    /**
     * How long until a retry may go through if nothing else comes, in milliseconds; the window where only first tries can
     * make room for it.
     */
    public double waitMs(double nowMs) {
        decay(nowMs);
        if (retries + 1 <= allowed()) {
            return 0;
        }
        // Both counts fade alike, so what retries have beyond their share shrinks until the least leaves room for one.
        double beyond = retries - firstTries * config.retryRatio();
        double room = minRetries() - 1;
        return room <= 0 ? config.windowMs() : Math.min(config.windowMs(), config.windowMs() * Math.log(beyond / room));
    }

    /** Goes on under other terms; what was counted stays. */
    public void changeTo(Config next, double nowMs) {
        decay(nowMs);
        config = next;
    }

    public Config config() {
        return config;
    }

    private double allowed() {
        return firstTries * config.retryRatio() + minRetries();
    }

    private double minRetries() {
        return config.minPerSecond() * config.windowMs() / MS_PER_S;
    }

    private void decay(double nowMs) {
        double kept = Math.exp(-Math.max(0, nowMs - updatedMs) / config.windowMs());
        firstTries *= kept;
        retries *= kept;
        updatedMs = Math.max(updatedMs, nowMs);
    }
}
