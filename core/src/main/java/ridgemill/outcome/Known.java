package ridgemill.outcome;

/**
 * What is known of a key.
 *
 * @param state how it stands
 * @param call the id of the call that it ran for, or runs for
 * @param tenant who asked first; null for nobody by name
 * @param fingerprint of what was asked for: another request under the same key has another one
 * @param firstMs when it was first sent on, from when nodes drop its repeats
 * @param windowMs for how long they do
 * @param sinceMs when it came to stand so
 */
public record Known(State state, String call, String tenant, long fingerprint, double firstMs, double windowMs, double sinceMs) {

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

    Known now(State next, double nowMs) {
        return new Known(next, call, tenant, fingerprint, firstMs, windowMs, nowMs);
    }

    Known again(String otherCall, double nowMs) {
        return new Known(State.RUNNING_AGAIN, otherCall, tenant, fingerprint, firstMs, windowMs, nowMs);
    }
}
