package ridgemill.serviceclass;

import ridgemill.policy.Router.Effect;

/**
 * What holds for a class of requests. Times are milliseconds.
 *
 * @param name as clients and routes call it
 * @param totalTimeoutMs within which a request has its final answer
 * @param targetLatencyMs within which its answer is worth most
 * @param attemptTimeoutMs after which one attempt is given up
 * @param maxAttempts at most, the first included
 * @param backoff between two attempts
 * @param nextAttemptDelayMs when the next attempt may begin, from the start of the one before; 0 is when that has ended
 * @param hedged whether a second copy may go out beside the first
 * @param effect what repeating a request does
 * @param deduplicationWindowMs for how long nodes drop a keyed request's repeats; 0 for other classes
 * @param value of one answer in time
 * @param maxBodyBytes in bytes
 */
public record ServiceClassPolicy(String name, double totalTimeoutMs, double targetLatencyMs, double attemptTimeoutMs, int maxAttempts, Backoff backoff,
                          double nextAttemptDelayMs, boolean hedged, Effect effect, double deduplicationWindowMs, double value,
                          long maxBodyBytes) {

    /** When an attempt begins at the latest if each before it ran into its time-out, from the start of the first. */
    public double latestStartMs(int attempt) {
        double at = 0;
        for (int i = 2; i <= attempt; i++) {
            at += Math.max(nextAttemptDelayMs, attemptTimeoutMs) + backoff.delayBeforeMs(i);
        }
        return at;
    }

    /** How long all attempts take if each runs into its time-out. */
    public double worstCaseMs() {
        return latestStartMs(maxAttempts) + attemptTimeoutMs;
    }
}
