package ridgemill.cdn.edge;

import ridgemill.policy.AdmissionLevel;
import ridgemill.policy.PriorityTokenBucket;

/**
 * Admission control of one service: admits a request or refuses it at once. A level with hysteresis is adjusted once
 * per interval from the outcomes of this proxy's own attempts and sets the refill rate of a token bank. Level 0 is
 * unthrottled; the other levels are decreasing multiples of a base rate, which stays unchanged while the service is
 * throttled. A request of low priority takes a token only while more than one remains.
 */
public final class ServiceAdmission {

    /** The length of a control interval, in milliseconds: long enough for a sample at a few requests per second. */
    public static final double INTERVAL_MS = 1_500;
    /** The longest wait that a refused client is told, in milliseconds. */
    private static final double MAX_RETRY_AFTER_MS = 1_000;

    /** The weight of a new sample in the moving average of the priority levels. */
    private static final double SMOOTHING = 0.02;

    private final AdmissionLevel level = new AdmissionLevel();
    private final PriorityTokenBucket bank = new PriorityTokenBucket(PriorityTokenBucket.DEFAULT_CAPACITY);
    private double intervalEndMs;
    private double meanPriority = Double.NaN;

    /**
     * An unthrottled admission control.
     *
     * @param phase the offset of the intervals, from 0 to 1; proxies use different offsets so that they do not change
     *     their levels at the same time
     */
    public ServiceAdmission(double phase, double nowMs) {
        intervalEndMs = nowMs + INTERVAL_MS * (0.5 + phase);
    }

    /** Admits a request, taking a token while throttled. Returns false if the request has to be refused. */
    public boolean tryAdmit(double nowMs, int priorityLevel) {
        meanPriority =
                Double.isNaN(meanPriority) ? priorityLevel : meanPriority + SMOOTHING * (priorityLevel - meanPriority);
        return level.level() == 0 || bank.tryAcquire(nowMs, priorityLevel > meanPriority);
    }

    /** Admits a request of the lowest priority, which no client waits for. Returns false if it has to be refused. */
    public boolean tryAdmitBackground(double nowMs) {
        return level.level() == 0 || bank.tryAcquire(nowMs, true);
    }

    /**
     * Counts the outcome of an attempt; it is good if it was answered successfully within the route's target latency.
     */
    public void countAttempt(boolean good) {
        level.recordFetch(good);
    }

    /** Counts an attempt whose connection failed. */
    public void countConnectionFailure() {
        level.recordBrokenFetch();
    }

    /** Whether the interval is over and {@link #endInterval} has to be called. */
    public boolean isIntervalOver(double nowMs) {
        return nowMs >= intervalEndMs;
    }

    /**
     * Ends an interval: adjusts the level and the refill rate.
     *
     * @param usualBreaks the share of attempts whose connections fail for other reasons than the load of the service
     */
    public void endInterval(double nowMs, double usualBreaks) {
        level.classifyBrokenFetches(usualBreaks);
        level.endInterval(INTERVAL_MS, bank.refusals());
        bank.setRate(nowMs, level.allowedPerSecond());
        intervalEndMs = Math.max(intervalEndMs + INTERVAL_MS, nowMs + INTERVAL_MS / 2);
    }

    /** How long a refused client should wait before it tries again, in milliseconds. */
    public double retryAfterMs() {
        return level.level() == 0 ? 0 : Math.min(MAX_RETRY_AFTER_MS, 1_000 / bank.ratePerS());
    }

    /** The level; 0 is unthrottled. */
    public int level() {
        return level.level();
    }

    /** The state that is kept over a restart of the process. */
    public AdmissionLevel.Snapshot snapshot() {
        return level.snapshot();
    }

    /** Restores the state of an earlier run of the process. */
    public void restore(AdmissionLevel.Snapshot kept, double nowMs) {
        level.restore(kept);
        bank.setRate(nowMs, level.allowedPerSecond());
    }
}
