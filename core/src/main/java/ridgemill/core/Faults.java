package ridgemill.core;

/** Where a dispatcher tells of what should not happen. */
public interface Faults {

    /** A fault of our own, which cost one event and no more. */
    void fault(String what, Throwable cause);

    /** Something odd that was mended. */
    void odd(String what);
}
