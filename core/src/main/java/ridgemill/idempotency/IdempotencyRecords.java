package ridgemill.idempotency;

import ridgemill.idempotency.IdempotencyRecord.State;

/**
 * Decides how a write with an idempotency key is handled, by the record of the key: it is executed, it waits for the
 * call that is running, or it is answered from the record. At most one call of a key is open here at a time. A write
 * that may have taken effect is sent again only while the nodes still drop its duplicates; after that, executing it
 * could not show whether it took effect, and it is reported as unknown.
 */
public final class IdempotencyRecords {

    /** How a request is handled. */
    public sealed interface Decision { }

    /**
     * The request is executed, and {@link #callEnded} must be called for it. {@code recorded} is false if there is no
     * room for a record; later requests with this key then do not learn its outcome.
     */
    public record Execute(boolean recorded) implements Decision { }

    /** The request waits for the call that is open. */
    public record Join(String callId) implements Decision { }

    /** The request is answered from the record and not executed. */
    public record Replay(IdempotencyRecord record) implements Decision { }

    /** The key was used with another request or by another tenant; the request is not executed. */
    public record Conflict() implements Decision { }

    /** How a call ended. */
    public enum CallResult {
        /** It took effect, or it was dropped as a duplicate. */
        SERVED,
        /** Nothing of this call ran. */
        NOTHING_RAN,
        /** It may have run. */
        MAY_HAVE_RUN
    }

    /** A write is not sent again in this last part of the window, because it takes time to reach the node. */
    private static final double MARGIN_MS = 200;

    private final IdempotencyStore store;
    private double retentionMs;
    private long unrecorded;
    private long replayed;
    private long joined;

    /**
     * Creates the decisions over a store.
     *
     * @param retentionMs for how long an outcome is reported after it was recorded, at least the deduplication window
     */
    public IdempotencyRecords(IdempotencyStore store, double retentionMs) {
        this.store = store;
        this.retentionMs = retentionMs;
    }

    /** Changes for how long outcomes are kept. */
    public void setRetentionMs(double ms) {
        retentionMs = ms;
    }

    /**
     * Decides on a request that has arrived with a key.
     *
     * @param callId id of the request
     * @param tenant tenant of the request; null if it is not named
     * @param fingerprint hash of the request
     * @param windowMs for how long nodes drop duplicates of the write
     */
    public Decision begin(double nowMs, String key, String callId, String tenant, long fingerprint, double windowMs) {
        store.expire(nowMs - Math.max(retentionMs, windowMs));
        IdempotencyRecord found = store.get(key);
        if (found == null) {
            boolean recorded = store.put(key,
                    new IdempotencyRecord(State.RUNNING, callId, tenant, fingerprint, nowMs, windowMs, nowMs));
            unrecorded += recorded ? 0 : 1;
            return new Execute(recorded);
        }
        if (found.fingerprint() != fingerprint || !java.util.Objects.equals(found.tenant(), tenant)) {
            return new Conflict();
        }
        if (found.isRunning()) {
            joined++;
            return new Join(found.callId());
        }
        if (found.state() == State.UNKNOWN && nowMs + MARGIN_MS < found.firstSentMs() + found.windowMs()) {
            return new Execute(store.put(key, found.rerunBy(callId, nowMs)));
        }
        replayed++;
        return new Replay(found);
    }

    /** Records the end of the call that runs for a key; ignored if another call, or none, runs for it. */
    public void callEnded(double nowMs, String key, String callId, CallResult result) {
        IdempotencyRecord found = store.get(key);
        if (found == null || !found.isRunning() || !found.callId().equals(callId)) {
            return;
        }
        switch (result) {
            case SERVED -> store.put(key, found.withState(State.RECORDED, nowMs));
            case MAY_HAVE_RUN -> store.put(key, found.withState(State.UNKNOWN, nowMs));
            case NOTHING_RAN -> {
                if (found.state() == State.RUNNING_AGAIN) {
                    store.put(key, found.withState(State.UNKNOWN, nowMs));
                } else {
                    store.remove(key);
                }
            }
        }
    }

    /**
     * The record of a key, for the tenant that used it; null if there is none, or it is another tenant's or expired.
     */
    public IdempotencyRecord find(double nowMs, String key, String tenant) {
        IdempotencyRecord found = store.get(key);
        boolean expired = found != null && !found.isRunning()
                && found.stateSinceMs() < nowMs - Math.max(retentionMs, found.windowMs());
        return found == null || expired || !java.util.Objects.equals(found.tenant(), tenant) ? null : found;
    }

    /** The number of records and the counts since the start, as one line of text. */
    public String summary() {
        return "outcomes kept=" + store.size() + " told=" + replayed + " joined=" + joined
                + " unrecorded=" + unrecorded;
    }
}
