package ridgemill.limit;

/**
 * Limits clients' retries to a ratio of their first tries, so that a failing fleet does not receive several times the
 * load of a working one. Each first try adds the ratio to the budget; what is unused is kept for a limited time. A few
 * retries a second always go through, otherwise a proxy with little traffic would refuse its first retry.
 *
 * <p>Like the retry budgets of Finagle and Envoy, but with exponential decay instead of a sliding window, which needs
 * no history.
 */
public final class RetryBudget {

    private static final double MS_PER_S = 1000;

    /**
     * The parameters of a budget.
     *
     * @param retryRatio retries for each first try, 0 or more
     * @param minPerSecond retries a second that always go through, 0 or more
     * @param windowMs how long unused budget is kept, greater than 0
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

    /** A first try has arrived. */
    public void recordFirstTry(double nowMs) {
        decay(nowMs);
        firstTries++;
    }

    /** Takes one retry from the budget; false if none is left. */
    public boolean tryRetry(double nowMs) {
        decay(nowMs);
        if (retries + 1 > allowed()) {
            return false;
        }
        retries++;
        return true;
    }

    /**
     * How long until a retry may go through if no other request arrives, in milliseconds; the whole window if only
     * first tries can make room for it.
     */
    public double waitMs(double nowMs) {
        decay(nowMs);
        if (retries + 1 <= allowed()) {
            return 0;
        }
        // Both counts decay alike, so the retries beyond the ratio shrink until the minimum leaves room for one more.
        double excess = retries - firstTries * config.retryRatio();
        double room = minRetries() - 1;
        return room <= 0 ? config.windowMs() : Math.min(config.windowMs(), config.windowMs() * Math.log(excess / room));
    }

    /** Applies other parameters; the counts are kept. */
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
        double factor = Math.exp(-Math.max(0, nowMs - updatedMs) / config.windowMs());
        firstTries *= factor;
        retries *= factor;
        updatedMs = Math.max(updatedMs, nowMs);
    }
}
