package ridgemill.core;

/**
 * The clock and the timers of a dispatcher. Times are Unix milliseconds with fractions and are monotonic. Tasks run on
 * the thread that owns the dispatcher, never from within {@link #scheduleAt}.
 */
public interface Timers {

    /** The current time, in milliseconds. */
    double now();

    /** Runs {@code task} at {@code atMs}, or as soon as possible if that has passed; never earlier. */
    Timer scheduleAt(double atMs, Runnable task);

    /** A scheduled task. */
    interface Timer {

        /** Cancels the task; no effect once it has run. */
        void cancel();
    }
}
