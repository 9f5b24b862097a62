package ridgemill.cdn.wire;

/** The reason why a call has no reply. It tells whether the other side may have executed the call. */
public enum CallFailure {
    /** The call was never written, so it has not been executed. */
    NOT_SENT,
    /** The connection closed or the call timed out after the call was written, so it may have been executed. */
    UNKNOWN;

    /** Returns whether the other side may have executed the call. */
    public boolean mayHaveRun() {
        return this == UNKNOWN;
    }
}
