package ridgemill.cdn.proxy;

import ridgemill.core.Timers;

/** The event log: one line of key=value pairs for each event, limited in rate. */
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

    /** Logs an event. Lines above the limit for each window of ten seconds are only counted. */
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

    /** Logs an internal error. */
    static void error(String event, Throwable cause) {
        LOGGER.log(System.Logger.Level.ERROR, event, cause);
    }
}
