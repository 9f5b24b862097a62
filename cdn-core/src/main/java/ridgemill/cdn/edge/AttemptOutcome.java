package ridgemill.cdn.edge;

/** How an attempt at an instance ended, and with it whether the request may have run there. */
public enum AttemptOutcome {
    /** A whole answer came that does not say the request was turned away. */
    ANSWERED(true),
    /** The instance says that it has not run the request. */
    DECLINED(false),
    /** A shared cache holds no copy and may not fetch the object now; nothing has run. */
    REFUSED_BY_CACHE(false),
    /** Another instance than the one that was meant has this address now; it has not run the request. */
    MISDIRECTED(false),
    /** No connection came up. */
    CONNECT_FAILED(false),
    /** The connection ended before the whole request was written. */
    NEVER_WRITTEN(false),
    /** The connection ended after the request was written and before a whole answer. */
    RESET(true),
    /** No answer came in time. */
    SILENT(true),
    /** What came is no answer to this request. */
    GARBLED(true);

    private final boolean mayHaveRun;

    AttemptOutcome(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /** Whether the request may have run; false only where it certainly has not and never will under this attempt. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Whether the connection is what failed. */
    public boolean isConnectionFailure() {
        return this == CONNECT_FAILED || this == NEVER_WRITTEN || this == RESET;
    }
}
