package ridgemill.datacenter;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The health of one link, measured by heartbeats that are sent on it at short intervals. One instance for each
 * connection.
 */
public final class LinkHealth {

    /** The state of a link. */
    public enum State {
        /** Heartbeats are answered. */
        UP,
        /**
         * A heartbeat has waited too long for its answer: no new requests are sent, and those in flight keep waiting.
         */
        STALLED,
        /** The link is given up: requests in flight on it are lost. */
        DEAD
    }

    /** The interval between heartbeats, in milliseconds. */
    public static final double INTERVAL_MS = 250;
    private static final double MIN_STALL_MS = 300;
    private static final double MIN_DEAD_MS = 3000;
    private static final double SRTT_GAIN = 0.125;

    private final Deque<Double> pendingHeartbeats = new ArrayDeque<>();
    private double srtt = Double.NaN;
    private double rttVariation;
    private double minRtt = Double.POSITIVE_INFINITY;

    /** A heartbeat was sent. */
    public void heartbeatSent(double nowMs) {
        pendingHeartbeats.addLast(nowMs);
    }

    /** The oldest pending heartbeat was answered; answers arrive in the order of the heartbeats. */
    public void heartbeatAnswered(double nowMs) {
        Double sentMs = pendingHeartbeats.pollFirst();
        if (sentMs == null) {
            return;
        }
        double rtt = nowMs - sentMs;
        minRtt = Math.min(minRtt, rtt);
        // Smoothed round-trip time and its variation, RFC 6298, section 2.
        rttVariation = Double.isNaN(srtt) ? rtt / 2 : 0.75 * rttVariation + 0.25 * Math.abs(srtt - rtt);
        srtt = Double.isNaN(srtt) ? rtt : (1 - SRTT_GAIN) * srtt + SRTT_GAIN * rtt;
    }

    /** The state of the link, by how long the oldest pending heartbeat has waited compared to usual round trips. */
    public State state(double nowMs) {
        double waitedMs = pendingHeartbeats.isEmpty() ? 0 : nowMs - pendingHeartbeats.peekFirst();
        double stallMs = Double.isNaN(srtt) ? MIN_STALL_MS : Math.max(MIN_STALL_MS, 2 * srtt + 4 * rttVariation);
        return waitedMs > Math.max(MIN_DEAD_MS, 2 * stallMs) ? State.DEAD
                : waitedMs > stallMs ? State.STALLED : State.UP;
    }

    /** The smoothed round-trip time in milliseconds; 0 before the first answer. */
    public double rttMs() {
        return Double.isNaN(srtt) ? 0 : srtt;
    }

    /** The smallest round-trip time so far in milliseconds; 0 before the first answer. */
    public double minRttMs() {
        return Double.isInfinite(minRtt) ? 0 : minRtt;
    }
}
