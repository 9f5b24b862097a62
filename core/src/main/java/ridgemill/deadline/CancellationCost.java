package ridgemill.deadline;

import ridgemill.limit.Rate;
import ridgemill.limit.TokenBucket;

/**
 * Whether the connection of an attempt that nobody waits for is closed, which stops what waits or works there and costs the
 * node the handshake of the next one; or left until the answer comes, which is then dropped. Closing must relieve the node of
 * more than it costs, and all handshakes that follow from cancels together may take a bounded part of the nodes' time.
 */
final class CancellationCost {

    /** Part of one core that handshakes after cancels may take, in milliseconds of work a second. */
    private static final double BUDGET_MS_PER_S = 100;
    private static final int BURST_MS = 400;
    /** A handshake's price moves this part of the way to what a first request on a new connection takes longer. */
    private static final double SMOOTH = 0.05;

    private final TokenBucket budget;
    private double freshMs = Double.NaN;
    private double keptMs = Double.NaN;

    CancellationCost(double nowMs) {
        budget = new TokenBucket(new Rate(BUDGET_MS_PER_S, BURST_MS), nowMs);
    }

    /** An attempt was answered, the first on its connection or a later one. */
    void answered(double ms, boolean fresh) {
        if (fresh) {
            freshMs = Double.isNaN(freshMs) ? ms : freshMs + SMOOTH * (ms - freshMs);
        } else {
            keptMs = Double.isNaN(keptMs) ? ms : keptMs + SMOOTH * (ms - keptMs);
        }
    }

    /** What a new connection costs its node, in milliseconds of work; 0 where that is not known. */
    double handshakeMs() {
        return Double.isNaN(freshMs) || Double.isNaN(keptMs) ? 0 : Math.max(0, freshMs - keptMs);
    }

    /**
     * Whether to close.
     *
     * @param elapsedMs since the attempt was sent
     * @param times of its kind
     */
    boolean shouldCloseConnection(double nowMs, double elapsedMs, ResponseTimes times) {
        double price = handshakeMs();
        double usual = times.medianMs(nowMs);
        if (price == 0 || usual == 0 || elapsedMs > times.p95Ms(nowMs)) {
            // Nothing is known of it, or it is so late that it may never come.
            return true;
        }
        // The work itself takes about as long as the quickest answers; what is beyond it waits, and stops for nothing.
        double relieves = Math.min(times.minMs(nowMs), Math.max(0, usual - elapsedMs));
        return relieves > price && budget.tryTake(nowMs, price);
    }
}
