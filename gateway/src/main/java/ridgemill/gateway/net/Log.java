package ridgemill.gateway.net;

import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The log, with a brake for what strangers can cause at any rate: a flood of bad input must not become a flood of lines. */
public final class Log {

    private static final Logger LOGGER = LoggerFactory.getLogger("ridgemill");
    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final int LINES_A_WINDOW = 20;

    private long windowStart = System.nanoTime();
    private int lines;
    private int dropped;

    public static void info(String text) {
        LOGGER.info(text);
    }

    /** A fault of our own; never held back. */
    public static void error(String text, Throwable cause) {
        LOGGER.error(text, cause);
    }

    /** Something odd from outside; past a few lines each ten seconds they are only counted. */
    public void odd(String text) {
        long now = System.nanoTime();
        if (now - windowStart > WINDOW_NANOS) {
            if (dropped > 0) {
                LOGGER.warn("{} more such lines were left out", dropped);
            }
            windowStart = now;
            lines = 0;
            dropped = 0;
        }
        if (lines++ < LINES_A_WINDOW) {
            LOGGER.warn(text);
        } else {
            dropped++;
        }
    }
}
