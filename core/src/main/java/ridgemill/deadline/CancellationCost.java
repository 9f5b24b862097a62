package ridgemill.deadline;

import ridgemill.limit.Rate;
import ridgemill.limit.TokenBucket;

/**
 * Decides whether to close the connection of an attempt that no client waits for. Closing stops the work at the node,
 * whether queued or running, and costs the node the handshake of the next connection. Leaving it open means that the
 * response is received and dropped. The connection is closed only if that saves the node more work than it costs, and
 * handshakes caused by cancellations may together take a bounded part of the nodes' time.
 */
final class CancellationCost {

    /** Share of one core that handshakes after cancellations may take: milliseconds of work per second. */
    private static final double BUDGET_MS_PER_SECOND = 100;
    private static final int BURST_MS = 400;
    /** Smoothing factor of the two response times whose difference is the estimated cost of a handshake. */
    private static final double SMOOTHING = 0.05;

    private final TokenBucket budget;
    private double newConnectionMs = Double.NaN;
    private double reusedConnectionMs = Double.NaN;

    CancellationCost(double nowMs) {
        budget = new TokenBucket(new Rate(BUDGET_MS_PER_SECOND, BURST_MS), nowMs);
    }

    /** Records the response time of an attempt, the first on its connection or a later one. */
    void answered(double ms, boolean newConnection) {
        if (newConnection) {
            newConnectionMs = Double.isNaN(newConnectionMs) ? ms : newConnectionMs + SMOOTHING * (ms - newConnectionMs);
        } else {
            reusedConnectionMs = Double.isNaN(reusedConnectionMs) ? ms
                    : reusedConnectionMs + SMOOTHING * (ms - reusedConnectionMs);
        }
    }

    /** The work that a new connection costs its node, in milliseconds; 0 if unknown. */
    double handshakeMs() {
        return Double.isNaN(newConnectionMs) || Double.isNaN(reusedConnectionMs) ? 0
                : Math.max(0, newConnectionMs - reusedConnectionMs);
    }

    /**
     * Whether to close the connection.
     *
     * @param elapsedMs time since the attempt was sent
     * @param times response times of attempts of the same kind
     */
    boolean shouldCloseConnection(double nowMs, double elapsedMs, ResponseTimes times) {
        double handshakeMs = handshakeMs();
        double medianMs = times.medianMs(nowMs);
        if (handshakeMs == 0 || medianMs == 0 || elapsedMs > times.p95Ms(nowMs)) {
            // Either nothing is known, or the response is so late that it may never arrive.
            return true;
        }
        // The work itself takes about as long as the fastest responses. The rest of the median is waiting, which costs
        // the node nothing, so stopping it saves nothing.
        double savedMs = Math.min(times.minMs(nowMs), Math.max(0, medianMs - elapsedMs));
        return savedMs > handshakeMs && budget.tryTake(nowMs, handshakeMs);
    }
}
