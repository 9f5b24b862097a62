package ridgemill.halls;

/**
 * How many crossings may be out to one gateway at once. It begins low, as the other hall's nodes are cold for keys that
 * they never saw, grows with what is served and falls when the other side refuses: additive increase and multiplicative
 * decrease (RFC 5681, section 3.1) over requests in place of segments.
 */
final class CrossingWindow {

    private static final double START = 4;
    private static final double LESS = 0.7;
    /** Refusals that were under way together count once. */
    private static final double ONCE_MS = 200;
    private static final double IDLE_MS = 10_000;

    private final int most;
    private double window = START;
    private boolean slowStart = true;
    private int out;
    private double lessAt = Double.NEGATIVE_INFINITY;
    private double usedAt;

    CrossingWindow(int most) {
        this.most = most;
    }

    /** Whether one more may go out. */
    boolean takes(double nowMs) {
        if (out == 0 && nowMs - usedAt > IDLE_MS) {
            // What the other side could take then says little about now.
            window = Math.min(window, Math.max(START, window / 2));
            usedAt = nowMs;
            slowStart = true;
        }
        return out < Math.min(most, Math.floor(window));
    }

    int out() {
        return out;
    }

    int size() {
        return (int) Math.min(most, Math.floor(window));
    }

    /** How full it is, 0 to 1 and over. */
    double fill() {
        return out / Math.max(1.0, Math.min(most, window));
    }

    void started(double nowMs) {
        out++;
        usedAt = nowMs;
    }

    /** One was served. */
    void served() {
        // Growth without use would make a bound that nothing has tried.
        if (out + 1 >= Math.floor(window) / 2) {
            window = Math.min(most, window + (slowStart ? 1 : 1 / window));
        }
        out--;
    }

    /** One was refused, or the other side could not serve it. */
    void refused(double nowMs) {
        out--;
        slowStart = false;
        if (nowMs - lessAt >= ONCE_MS) {
            lessAt = nowMs;
            window = Math.max(1, window * LESS);
        }
    }

    /** One was lost with its link, or went unanswered. */
    void lost(double nowMs) {
        out--;
        if (nowMs - lessAt >= ONCE_MS) {
            lessAt = nowMs;
            window = Math.min(window, START);
            slowStart = true;
        }
    }

    /** One ended in a way that says nothing about the other side, as when its client left. */
    void left() {
        out--;
    }
}
