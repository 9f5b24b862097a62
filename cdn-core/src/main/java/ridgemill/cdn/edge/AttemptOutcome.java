package ridgemill.cdn.edge;

/** The outcome of an attempt at an instance, which also tells whether the request may have run there. */
public enum AttemptOutcome {
    /** A complete answer arrived, and it does not state that the request was declined. */
    ANSWERED(true),
    /** The instance answered that it has not run the request. */
    DECLINED(false),
    /** The shared cache holds no usable copy and may not fetch the object now; nothing has run. */
    REFUSED_BY_CACHE(false),
    /** Another instance now has the address of the intended one; it has not run the request. */
    MISDIRECTED(false),
    /** No connection could be established. */
    CONNECT_FAILED(false),
    /** The connection closed before any byte of the request was written. */
    NEVER_WRITTEN(false),
    /** The connection closed after a part of the request was written and before the answer was complete. */
    RESET(true),
    /** No answer arrived in time. */
    SILENT(true),
    /** The received data is not a valid answer to this request. */
    GARBLED(true),
    /** The answer did not fit into the memory of this process. */
    NOT_HELD(true);

    private final boolean mayHaveRun;

    AttemptOutcome(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /** Whether the request may have run; false only if it certainly has not run and will not run in this attempt. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Whether the attempt ended because its connection failed. */
    public boolean isConnectionFailure() {
        return this == CONNECT_FAILED || this == NEVER_WRITTEN || this == RESET;
    }
}
