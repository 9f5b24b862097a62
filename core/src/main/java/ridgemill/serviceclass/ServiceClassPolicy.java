package ridgemill.serviceclass;

import ridgemill.policy.Router.Effect;

/**
 * The operator's settings for a service class. Times are in milliseconds.
 *
 * @param name by which clients and routes refer to the class
 * @param totalTimeoutMs time within which a request gets its final answer
 * @param targetLatencyMs time within which an answer has its full value
 * @param attemptTimeoutMs timeout of one attempt
 * @param maxAttempts maximum number of attempts, including the first
 * @param backoff between two attempts
 * @param nextAttemptDelayMs earliest start of the next attempt, from the start of the previous one; 0 means at its end
 * @param hedged whether a second attempt may run in parallel to the first
 * @param effect what happens if a request is executed more than once
 * @param deduplicationWindowMs how long nodes discard duplicates of a keyed request; 0 for other classes
 * @param value of one answer within the target latency
 * @param maxBodyBytes largest request body
 */
public record ServiceClassPolicy(String name, double totalTimeoutMs, double targetLatencyMs, double attemptTimeoutMs,
                                 int maxAttempts, Backoff backoff, double nextAttemptDelayMs, boolean hedged,
                                 Effect effect, double deduplicationWindowMs, double value, long maxBodyBytes) {

    /** The latest start of an attempt, from the start of the first: all attempts before it run into their timeout. */
    public double latestStartMs(int attempt) {
        double startMs = 0;
        for (int i = 2; i <= attempt; i++) {
            startMs += Math.max(nextAttemptDelayMs, attemptTimeoutMs) + backoff.delayBeforeMs(i);
        }
        return startMs;
    }

    /** The duration of all attempts if each runs into its timeout. */
    public double worstCaseMs() {
        return latestStartMs(maxAttempts) + attemptTimeoutMs;
    }
}
