package ridgemill.idempotency;

/**
 * The record of one idempotency key.
 *
 * @param state state of the key
 * @param callId id of the call that ran for the key, or is running
 * @param tenant tenant that used the key first; null if it was not named
 * @param fingerprint hash of the request: another request with the same key has another one
 * @param firstSentMs when the write was first sent, from which nodes drop its duplicates
 * @param windowMs for how long nodes drop duplicates
 * @param stateSinceMs when the key entered its state
 */
public record IdempotencyRecord(State state, String callId, String tenant, long fingerprint, double firstSentMs,
                                double windowMs, double stateSinceMs) {

    /** State of a key. */
    public enum State {
        /** A call is open, and no earlier call can have taken effect. */
        RUNNING,
        /** A call is open, and an earlier one may have taken effect. */
        RUNNING_AGAIN,
        /** The write took effect, exactly once. */
        RECORDED,
        /** The write may have taken effect, and no call is open. */
        UNKNOWN
    }

    /** Whether a call with this key is open. */
    public boolean isRunning() {
        return state == State.RUNNING || state == State.RUNNING_AGAIN;
    }

    IdempotencyRecord withState(State next, double nowMs) {
        return new IdempotencyRecord(next, callId, tenant, fingerprint, firstSentMs, windowMs, nowMs);
    }

    IdempotencyRecord rerunBy(String nextCallId, double nowMs) {
        return new IdempotencyRecord(State.RUNNING_AGAIN, nextCallId, tenant, fingerprint, firstSentMs, windowMs,
                nowMs);
    }
}
