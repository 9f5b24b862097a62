package ridgemill.cdn.proxy;

import ridgemill.core.Timers;

/** The log: one line of key=value pairs for each event, with a brake on their number. */
final class EventLog {

    private static final System.Logger LOGGER = System.getLogger("ridgemill.cdn.proxy");
    private static final double WINDOW_MS = 10_000;
    private static final int MAX_LINES_PER_WINDOW = 20;

    private final Timers timers;
    private double windowStartMs = Double.NEGATIVE_INFINITY;
    private int linesInWindow;
    private int dropped;

    EventLog(Timers timers) {
        this.timers = timers;
    }

    /** Logs an event; past a few lines each ten seconds they are only counted. */
    void info(String event) {
        double nowMs = timers.now();
        if (nowMs - windowStartMs > WINDOW_MS) {
            if (dropped > 0) {
                LOGGER.log(System.Logger.Level.INFO, "event=lines-left-out count=" + dropped);
            }
            windowStartMs = nowMs;
            linesInWindow = 0;
            dropped = 0;
        }
        if (linesInWindow++ < MAX_LINES_PER_WINDOW) {
            LOGGER.log(System.Logger.Level.INFO, event);
        } else {
            dropped++;
        }
    }

    /** Logs a fault of this program. */
    static void error(String event, Throwable cause) {
        LOGGER.log(System.Logger.Level.ERROR, event, cause);
    }
}
