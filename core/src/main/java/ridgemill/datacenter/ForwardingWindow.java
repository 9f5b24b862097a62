package ridgemill.datacenter;

/**
 * How many crossings may be out to one gateway at once. It begins low, as the other hall's nodes are cold for keys that
 * they never saw, grows with what is served and falls when the other side refuses: additive increase and multiplicative
 * decrease (RFC 5681, section 3.1) over requests in place of segments.
 */
final class ForwardingWindow {

    private static final double INITIAL_SIZE = 4;
    private static final double DECREASE_FACTOR = 0.7;
    /** Refusals that were under way together count once. */
    private static final double DECREASE_INTERVAL_MS = 200;
    private static final double IDLE_RESET_MS = 10_000;

    private final int maxSize;
    private double window = INITIAL_SIZE;
    private boolean slowStart = true;
    private int inFlight;
    private double lastDecreaseMs = Double.NEGATIVE_INFINITY;
    private double lastUseMs;

    ForwardingWindow(int most) {
        this.maxSize = most;
    }

    /** Whether one more may go out. */
    boolean hasRoom(double nowMs) {
        if (inFlight == 0 && nowMs - lastUseMs > IDLE_RESET_MS) {
            // What the other side could take then says little about now.
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

    /** How full it is, 0 to 1 and over. */
    double utilization() {
        return inFlight / Math.max(1.0, Math.min(maxSize, window));
    }

    void started(double nowMs) {
        inFlight++;
        lastUseMs = nowMs;
    }

    /** One was served. */
    void served() {
        // Growth without use would make a bound that nothing has tried.
        if (inFlight + 1 >= Math.floor(window) / 2) {
            window = Math.min(maxSize, window + (slowStart ? 1 : 1 / window));
        }
        inFlight--;
    }

    /** One was refused, or the other side could not serve it. */
    void refused(double nowMs) {
        inFlight--;
        slowStart = false;
        if (nowMs - lastDecreaseMs >= DECREASE_INTERVAL_MS) {
            lastDecreaseMs = nowMs;
            window = Math.max(1, window * DECREASE_FACTOR);
        }
    }

    /** One was lost with its link, or went unanswered. */
    void lost(double nowMs) {
        inFlight--;
        if (nowMs - lastDecreaseMs >= DECREASE_INTERVAL_MS) {
            lastDecreaseMs = nowMs;
            window = Math.min(window, INITIAL_SIZE);
            slowStart = true;
        }
    }

    /** One ended in a way that says nothing about the other side, as when its client left. */
    void abandoned() {
        inFlight--;
    }
}
