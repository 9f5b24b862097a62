package ridgemill.datacenter;

import java.util.ArrayDeque;
import java.util.Deque;

/** Whether a link answers, from what is asked and answered on it at short intervals. One for each connection. */
public final class LinkHealth {

    /** How a link is. */
    public enum State {
        /** It answers. */
        UP,
        /** It has not answered for too long: nothing new goes out on it, and what is out goes on waiting. */
        STALLED,
        /** It is given up: what is out on it is lost. */
        DEAD
    }

    /** How often it is asked, in milliseconds. */
    public static final double INTERVAL_MS = 250;
    private static final double MIN_STALL_MS = 300;
    private static final double MIN_DEAD_MS = 3000;
    private static final double SRTT_GAIN = 0.125;

    private final Deque<Double> pendingHeartbeats = new ArrayDeque<>();
    private double srtt = Double.NaN;
    private double rttVariation;
    private double minRtt = Double.POSITIVE_INFINITY;

    /** It is asked now. */
    public void heartbeatSent(double nowMs) {
        pendingHeartbeats.addLast(nowMs);
    }

    /** The oldest question that is out is answered; answers keep the order of questions. */
    public void heartbeatAnswered(double nowMs) {
        Double at = pendingHeartbeats.pollFirst();
        if (at == null) {
            return;
        }
        double rtt = nowMs - at;
        minRtt = Math.min(minRtt, rtt);
        // RFC 6298, section 2.
        rttVariation = Double.isNaN(srtt) ? rtt / 2 : 0.75 * rttVariation + 0.25 * Math.abs(srtt - rtt);
        srtt = Double.isNaN(srtt) ? rtt : (1 - SRTT_GAIN) * srtt + SRTT_GAIN * rtt;
    }

    public State state(double nowMs) {
        double waited = pendingHeartbeats.isEmpty() ? 0 : nowMs - pendingHeartbeats.peekFirst();
        double patience = Double.isNaN(srtt) ? MIN_STALL_MS : Math.max(MIN_STALL_MS, 2 * srtt + 4 * rttVariation);
        return waited > Math.max(MIN_DEAD_MS, 2 * patience) ? State.DEAD : waited > patience ? State.STALLED : State.UP;
    }

    /** The smoothed round trip, in milliseconds; 0 before the first answer. */
    public double rttMs() {
        return Double.isNaN(srtt) ? 0 : srtt;
    }

    /** The least round trip so far, in milliseconds; 0 before the first answer. */
    public double minRttMs() {
        return Double.isInfinite(minRtt) ? 0 : minRtt;
    }
}
