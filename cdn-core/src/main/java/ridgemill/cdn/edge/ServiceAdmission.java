package ridgemill.cdn.edge;

import ridgemill.policy.AdmissionLevel;
import ridgemill.policy.PriorityTokenBucket;

/**
 * Whether a request that has to go to a service is let on or refused at once. A hysteresis level, stepped once an
 * interval from the outcomes of this proxy's own attempts, sets how fast a token bank refills: level 0 is unthrottled,
 * the others are rungs of a ladder of multiples of the base, which is held while throttled. Requests of low worth take
 * a token only while more than one remains.
 */
public final class ServiceAdmission {

    /** Length of a control interval, in milliseconds: long enough for a sample at a few requests a second. */
    public static final double INTERVAL_MS = 1_500;
    /** The greatest wait that a refused client is told, in milliseconds. */
    private static final double MAX_RETRY_AFTER_MS = 1_000;

    private static final double SMOOTHING = 0.02;

    private final AdmissionLevel level = new AdmissionLevel();
    private final PriorityTokenBucket bank = new PriorityTokenBucket(PriorityTokenBucket.DEFAULT_CAPACITY);
    private double intervalEndMs;
    private double meanPriority = Double.NaN;

    /**
     * An unthrottled admission.
     *
     * @param phase where in an interval its steps lie, from 0 to 1; proxies differ so that they do not move in unison
     */
    public ServiceAdmission(double phase, double nowMs) {
        intervalEndMs = nowMs + INTERVAL_MS * (0.5 + phase);
    }

    /** Draws a token. Returns false if the request has to be refused. */
    public boolean tryAdmit(double nowMs, int priorityLevel) {
        meanPriority =
                Double.isNaN(meanPriority) ? priorityLevel : meanPriority + SMOOTHING * (priorityLevel - meanPriority);
        return level.level() == 0 || bank.tryAcquire(nowMs, priorityLevel > meanPriority);
    }

    /** Draws a token for work that no client waits for, which has the lowest worth. Returns false if there is none. */
    public boolean tryAdmitBackground(double nowMs) {
        return level.level() == 0 || bank.tryAcquire(nowMs, true);
    }

    /** Counts the outcome of an attempt; good if it was answered with success within the route's target. */
    public void countAttempt(boolean good) {
        level.recordFetch(good);
    }

    /** Counts an attempt whose connection broke. */
    public void countConnectionFailure() {
        level.recordBrokenFetch();
    }

    /** Whether an interval has ended and {@link #endInterval} is due. */
    public boolean isIntervalOver(double nowMs) {
        return nowMs >= intervalEndMs;
    }

    /**
     * Ends an interval.
     *
     * @param usualBreaks the share of attempts whose connections break for reasons other than the service's load
     */
    public void endInterval(double nowMs, double usualBreaks) {
        level.classifyBrokenFetches(usualBreaks);
        level.endInterval(INTERVAL_MS, bank.refusals());
        bank.setRate(nowMs, level.allowedPerSecond());
        intervalEndMs = Math.max(intervalEndMs + INTERVAL_MS, nowMs + INTERVAL_MS / 2);
    }

    /** How long a refused client should wait before its next try, in milliseconds. */
    public double retryAfterMs() {
        return level.level() == 0 ? 0 : Math.min(MAX_RETRY_AFTER_MS, 1_000 / bank.ratePerS());
    }

    /** The level; 0 is unthrottled. */
    public int level() {
        return level.level();
    }

    /** What outlives a restart of the process. */
    public AdmissionLevel.Snapshot snapshot() {
        return level.snapshot();
    }

    /** Goes on where an earlier life of the process was. */
    public void restore(AdmissionLevel.Snapshot kept, double nowMs) {
        level.restore(kept);
        bank.setRate(nowMs, level.allowedPerSecond());
    }
}
