package ridgemill.halls;

import java.util.ArrayDeque;
import java.util.Deque;

/** Whether a link answers, from what is asked and answered on it at short intervals. One for each connection. */
public final class LinkPulse {

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
    private static final double STALL_MS = 300;
    private static final double DEAD_MS = 3000;
    private static final double SMOOTH = 0.125;

    private final Deque<Double> asked = new ArrayDeque<>();
    private double srtt = Double.NaN;
    private double deviation;
    private double least = Double.POSITIVE_INFINITY;

    /** It is asked now. */
    public void asked(double nowMs) {
        asked.addLast(nowMs);
    }

    /** The oldest question that is out is answered; answers keep the order of questions. */
    public void answered(double nowMs) {
        Double at = asked.pollFirst();
        if (at == null) {
            return;
        }
        double rtt = nowMs - at;
        least = Math.min(least, rtt);
        // RFC 6298, section 2.
        deviation = Double.isNaN(srtt) ? rtt / 2 : 0.75 * deviation + 0.25 * Math.abs(srtt - rtt);
        srtt = Double.isNaN(srtt) ? rtt : (1 - SMOOTH) * srtt + SMOOTH * rtt;
    }

    public State state(double nowMs) {
        double waited = asked.isEmpty() ? 0 : nowMs - asked.peekFirst();
        double patience = Double.isNaN(srtt) ? STALL_MS : Math.max(STALL_MS, 2 * srtt + 4 * deviation);
        return waited > Math.max(DEAD_MS, 2 * patience) ? State.DEAD : waited > patience ? State.STALLED : State.UP;
    }

    /** The smoothed round trip, in milliseconds; 0 before the first answer. */
    public double rttMs() {
        return Double.isNaN(srtt) ? 0 : srtt;
    }

    /** The least round trip so far, in milliseconds; 0 before the first answer. */
    public double leastMs() {
        return Double.isInfinite(least) ? 0 : least;
    }
}
