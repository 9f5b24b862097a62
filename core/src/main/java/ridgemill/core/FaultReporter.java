package ridgemill.core;

/** Where a dispatcher tells of what should not happen. */
public interface FaultReporter {

    /** A fault of our own, which cost one event and no more. */
    void error(String what, Throwable cause);

    /**
     * A fault after which the decisions can't be relied on any more, as a class that can't be loaded or memory that is gone:
     * they are not asked again, what they had in hand has been answered, and each further request is refused.
     */
    default void fatal(String what, Throwable cause) {
        error(what, cause);
    }

    /** Something odd that was mended. */
    void warning(String what);
}
