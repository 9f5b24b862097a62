package ridgemill.datacenter;

/**
 * The congestion window for requests forwarded to one gateway: how many of them may be in flight at once. It starts
 * small because the nodes of the other datacenter are cold for keys that they have never served, grows with successes
 * and shrinks when the other side refuses: additive increase and multiplicative decrease (RFC 5681, section 3.1),
 * counted in requests instead of segments.
 */
final class ForwardingWindow {

    private static final double INITIAL_SIZE = 4;
    private static final double DECREASE_FACTOR = 0.7;
    /** Refusals within this time count once, as the requests were in flight together. */
    private static final double DECREASE_INTERVAL_MS = 200;
    private static final double IDLE_RESET_MS = 10_000;

    private final int maxSize;
    private double window = INITIAL_SIZE;
    private boolean slowStart = true;
    private int inFlight;
    private double lastDecreaseMs = Double.NEGATIVE_INFINITY;
    private double lastUseMs;

    ForwardingWindow(int maxSize) {
        this.maxSize = maxSize;
    }

    /** Whether one more request may be sent. */
    boolean hasRoom(double nowMs) {
        if (inFlight == 0 && nowMs - lastUseMs > IDLE_RESET_MS) {
            // After an idle period the old window says little about the current capacity.
            window = Math.min(window, Math.max(INITIAL_SIZE, window / 2));
            lastUseMs = nowMs;
            slowStart = true;
        }
        return inFlight < Math.min(maxSize, Math.floor(window));
    }

    int inFlight() {
        return inFlight;
    }

    int size() {
        return (int) Math.min(maxSize, Math.floor(window));
    }

    /** How full the window is, as a ratio of 0 or more; above 1 after the window has shrunk. */
    double utilization() {
        return inFlight / Math.max(1.0, Math.min(maxSize, window));
    }

    void started(double nowMs) {
        inFlight++;
        lastUseMs = nowMs;
    }

    /** A request was served. */
    void served() {
        // Grows only while the window is about half used or more, so that it never exceeds a load that was tested.
        if (inFlight + 1 >= Math.floor(window) / 2) {
            window = Math.min(maxSize, window + (slowStart ? 1 : 1 / window));
        }
        inFlight--;
    }

    /** A request was refused, or the other datacenter could not serve it. */
    void refused(double nowMs) {
        inFlight--;
        slowStart = false;
        if (nowMs - lastDecreaseMs >= DECREASE_INTERVAL_MS) {
            lastDecreaseMs = nowMs;
            window = Math.max(1, window * DECREASE_FACTOR);
        }
    }

    /** A request was lost with its link or timed out. */
    void lost(double nowMs) {
        inFlight--;
        if (nowMs - lastDecreaseMs >= DECREASE_INTERVAL_MS) {
            lastDecreaseMs = nowMs;
            window = Math.min(window, INITIAL_SIZE);
            slowStart = true;
        }
    }

    /** A request ended in a way that says nothing about the other side, for example because its client disconnected. */
    void abandoned() {
        inFlight--;
    }
}
