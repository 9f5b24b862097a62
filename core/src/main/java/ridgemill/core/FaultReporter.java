package ridgemill.core;

/** Receives reports of internal errors of a dispatcher. */
public interface FaultReporter {

    /** An internal error that affected the handling of one event only. */
    void error(String message, Throwable cause);

    /**
     * An error after which the routing policy is unusable, such as a class that cannot be loaded or exhausted memory.
     * The policy is not called again, its open requests have been answered, and every later request is refused.
     */
    default void fatal(String message, Throwable cause) {
        error(message, cause);
    }

    /** An anomaly that was corrected. */
    void warning(String message);
}
