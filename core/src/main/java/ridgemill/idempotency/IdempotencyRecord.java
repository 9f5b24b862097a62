package ridgemill.idempotency;

/**
 * What is known of a key.
 *
 * @param state how it stands
 * @param callId the id of the call that it ran for, or runs for
 * @param tenant who asked first; null for nobody by name
 * @param fingerprint of what was asked for: another request under the same key has another one
 * @param firstSentMs when it was first sent on, from when nodes drop its repeats
 * @param windowMs for how long they do
 * @param stateSinceMs when it came to stand so
 */
public record IdempotencyRecord(State state, String callId, String tenant, long fingerprint, double firstSentMs, double windowMs, double stateSinceMs) {

    /** How a key may stand. */
    public enum State {
        /** A call of it is open, and nothing of it may have run before. */
        RUNNING,
        /** A call of it is open, and one before may have run. */
        RUNNING_AGAIN,
        /** It took effect, once. */
        RECORDED,
        /** It may have taken effect; no call of it is open. */
        UNKNOWN
    }

    /** Whether a call of it is open. */
    public boolean isRunning() {
        return state == State.RUNNING || state == State.RUNNING_AGAIN;
    }

    IdempotencyRecord withState(State next, double nowMs) {
        return new IdempotencyRecord(next, callId, tenant, fingerprint, firstSentMs, windowMs, nowMs);
    }

    IdempotencyRecord rerunBy(String otherCall, double nowMs) {
        return new IdempotencyRecord(State.RUNNING_AGAIN, otherCall, tenant, fingerprint, firstSentMs, windowMs, nowMs);
    }
}
