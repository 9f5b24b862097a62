package ridgemill.cdn.settings;

import java.util.Map;

/**
 * The bounds that the system has to keep, by their names in the settings file. Durations are in milliseconds.
 *
 * @param values the unparsed values by name
 */
public record Bounds(Map<String, String> values) {

    private static final long DEFAULT_DRAIN_DEADLINE_MS = 2_000;
    private static final long DEFAULT_PURGE_DEADLINE_MS = 2_000;
    private static final long DEFAULT_GRACE_PERIOD_MS = 6_000;
    private static final long DEFAULT_KEY_WINDOW_MS = 60_000;
    private static final long DEFAULT_RETRY_WINDOW_MS = 10_000;
    private static final long DEFAULT_CONTACT_MS = 3_000;
    private static final long DEFAULT_ORIGIN_WINDOW_MS = 5_000;
    private static final double DEFAULT_ORIGIN_OVERAGE = 1.1;
    private static final double DEFAULT_RETRY_RATIO = 0.2;
    private static final double DEFAULT_RETRY_SLACK = 20;

    /** The time after the acknowledgement of a drain from which no more requests may be sent there. */
    public long drainDeadlineMs() {
        return duration("drainDeadline", DEFAULT_DRAIN_DEADLINE_MS);
    }

    /** The time after the acknowledgement of a purge from which no purged copy may be served. */
    public long purgeDeadlineMs() {
        return duration("purgeDeadline", DEFAULT_PURGE_DEADLINE_MS);
    }

    /** The time between SIGTERM and SIGKILL. */
    public long gracePeriodMs() {
        return duration("gracePeriod", DEFAULT_GRACE_PERIOD_MS);
    }

    /** The time for which an operation key is guaranteed to run at most once. */
    public long keyWindowMs() {
        return duration("keyWindow", DEFAULT_KEY_WINDOW_MS);
    }

    /** The window of the retry budget. */
    public long retryWindowMs() {
        return duration("retryWindow", DEFAULT_RETRY_WINDOW_MS);
    }

    /** The time for which a machine counts as out of contact after a disturbance. */
    public long contactMs() {
        return duration("contact", DEFAULT_CONTACT_MS);
    }

    /** The fraction of a service's requests that may be retried. */
    public double retryBudgetRatio() {
        return number("retryBudgetRatio", DEFAULT_RETRY_RATIO);
    }

    /** The number of retries beyond that fraction that all proxies together may send in one window. */
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

    private long duration(String name, long defaultValue) {
        String value = values.get(name);
        return value == null ? defaultValue : Durations.parseMillis(value);
    }

    private double number(String name, double defaultValue) {
        String value = values.get(name);
        return value == null ? defaultValue : Double.parseDouble(value);
    }
}
