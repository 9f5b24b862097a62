package ridgemill.classes;

import ridgemill.policy.Router.Effect;

/**
 * What holds for a class of requests. Times are milliseconds.
 *
 * @param name as clients and routes call it
 * @param totalMs within which a request has its final answer
 * @param wantedMs within which its answer is worth most
 * @param attemptMs after which one attempt is given up
 * @param attempts at most, the first included
 * @param backoff between two attempts
 * @param nextAttemptMs when the next attempt may begin, from the start of the one before; 0 is when that has ended
 * @param secondCopy whether a second copy may go out beside the first
 * @param effect what repeating a request does
 * @param repeatWindowMs for how long nodes drop a keyed request's repeats; 0 for other classes
 * @param worth of one answer in time
 * @param largestBody in bytes
 */
public record ClassPolicy(String name, double totalMs, double wantedMs, double attemptMs, int attempts, Backoff backoff,
                          double nextAttemptMs, boolean secondCopy, Effect effect, double repeatWindowMs, double worth,
                          long largestBody) {

    /** When an attempt begins at the latest if each before it ran into its time-out, from the start of the first. */
    public double latestStartMs(int attempt) {
        double at = 0;
        for (int i = 2; i <= attempt; i++) {
            at += Math.max(nextAttemptMs, attemptMs) + backoff.beforeMs(i);
        }
        return at;
    }

    /** How long all attempts take if each runs into its time-out. */
    public double worstMs() {
        return latestStartMs(attempts) + attemptMs;
    }
}
