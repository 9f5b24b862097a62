package ridgemill.cdn.settings;

import java.util.Map;

/**
 * The figures of the rules, by their names in the settings file. Durations are in milliseconds.
 *
 * @param values the texts as they were given
 */
public record Bounds(Map<String, String> values) {

    private static final long DEFAULT_DRAIN_DEADLINE_MS = 2_000;
    private static final long DEFAULT_GRACE_PERIOD_MS = 6_000;
    private static final long DEFAULT_KEY_WINDOW_MS = 60_000;
    private static final long DEFAULT_RETRY_WINDOW_MS = 10_000;
    private static final long DEFAULT_CONTACT_MS = 3_000;
    private static final long DEFAULT_ORIGIN_WINDOW_MS = 5_000;
    private static final double DEFAULT_ORIGIN_OVERAGE = 1.1;
    private static final double DEFAULT_RETRY_RATIO = 0.2;
    private static final double DEFAULT_RETRY_SLACK = 20;

    /** After how long a machine that acknowledged a drain may no longer see requests sent there. */
    public long drainDeadlineMs() {
        return duration("drainDeadline", DEFAULT_DRAIN_DEADLINE_MS);
    }

    /** The time between SIGTERM and SIGKILL. */
    public long gracePeriodMs() {
        return duration("gracePeriod", DEFAULT_GRACE_PERIOD_MS);
    }

    /** For how long the operations of one key run once. */
    public long keyWindowMs() {
        return duration("keyWindow", DEFAULT_KEY_WINDOW_MS);
    }

    /** The window of the retry budget. */
    public long retryWindowMs() {
        return duration("retryWindow", DEFAULT_RETRY_WINDOW_MS);
    }

    /** How long a machine is out of touch after a trouble. */
    public long contactMs() {
        return duration("contact", DEFAULT_CONTACT_MS);
    }

    /** The share of a service's requests that may be sent again. */
    public double retryBudgetRatio() {
        return number("retryBudgetRatio", DEFAULT_RETRY_RATIO);
    }

    /** How many requests may be sent again beyond the share, in one window, by all proxies together. */
    public double retryBudgetSlack() {
        return number("retryBudgetSlack", DEFAULT_RETRY_SLACK);
    }

    /** The window over which the requests to a service are counted. */
    public long originWindowMs() {
        return duration("originWindow", DEFAULT_ORIGIN_WINDOW_MS);
    }

    /** The multiple of a service's rate that all machines together may reach over that window. */
    public double originCeilingOverage() {
        return number("originCeilingOverage", DEFAULT_ORIGIN_OVERAGE);
    }

    private long duration(String name, long otherwise) {
        String value = values.get(name);
        return value == null ? otherwise : Durations.parseMillis(value);
    }

    private double number(String name, double otherwise) {
        String value = values.get(name);
        return value == null ? otherwise : Double.parseDouble(value);
    }
}
