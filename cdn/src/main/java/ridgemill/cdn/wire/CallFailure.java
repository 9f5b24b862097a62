package ridgemill.cdn.wire;

/** Why a call has no answer, which says whether the other side may have carried it out. */
public enum CallFailure {
    /** The call was never written: it has not been carried out. */
    NOT_SENT,
    /** The connection ended or the time ran out after the call was written: it may have been carried out. */
    UNKNOWN;

    /** Whether the other side may have carried the call out. */
    public boolean mayHaveRun() {
        return this == UNKNOWN;
    }
}
