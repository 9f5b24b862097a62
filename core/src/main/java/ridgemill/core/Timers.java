package ridgemill.core;

/**
 * The time and the timers that a dispatcher is given. Times are Unix milliseconds with fractions and never run back;
 * tasks run on the thread that owns the dispatcher, never from within {@link #scheduleAt}.
 */
public interface Timers {

    /** The time now, in milliseconds. */
    double now();

    /** Runs {@code task} at {@code atMs}, or as soon as may be if that has passed; never before it. */
    Timer scheduleAt(double atMs, Runnable task);

    /** A task that may still be taken back. */
    interface Timer {

        /** Takes the task back; without effect once it has run. */
        void cancel();
    }
}
