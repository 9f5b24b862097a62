package ridgemill.idempotency;

import ridgemill.idempotency.IdempotencyRecord.State;

/**
 * Decides what becomes of a keyed write by what is known of its key: it runs, it waits for the one that runs, or it is told.
 * At most one call of a key is open here at a time. One that may have run is sent again only while the nodes still drop its
 * repeats; later nobody can find out by running it, and it is told as unknown.
 */
public final class IdempotencyRecords {

    /** What becomes of one that asks. */
    public sealed interface Decision { }

    /** It runs; its end is owed. {@code recorded} is false where there is no room, and then nobody will be told of it. */
    public record Execute(boolean recorded) implements Decision { }

    /** It waits for the call that is open. */
    public record Join(String callId) implements Decision { }

    /** It is told what is known; nothing of it runs. */
    public record Replay(IdempotencyRecord record) implements Decision { }

    /** The key was given with another request, or by somebody else; nothing of it runs. */
    public record Conflict() implements Decision { }

    /** How a call of a key ended. */
    public enum CallResult {
        /** It took effect, or a repeat of it was dropped. */
        SERVED,
        /** Nothing of this call ran. */
        NOTHING_RAN,
        /** It may have run. */
        MAY_HAVE_RUN
    }

    /** A repeat is sent so much before the nodes forget, as it has a way to go. */
    private static final double MARGIN_MS = 200;

    private final IdempotencyStore store;
    private double keepMs;
    private long unrecorded;
    private long told;
    private long joined;

    /**
     * One that keeps outcomes in a store.
     *
     * @param keepMs for how long an outcome is told after it came about; the repeat window at least
     */
    public IdempotencyRecords(IdempotencyStore store, double keepMs) {
        this.store = store;
        this.keepMs = keepMs;
    }

    /** Outcomes are kept for so long from now on. */
    public void setRetentionMs(double ms) {
        keepMs = ms;
    }

    /** A request with this key has come. */
    public Decision begin(double nowMs, String key, String call, String tenant, long fingerprint, double windowMs) {
        store.expire(nowMs - Math.max(keepMs, windowMs));
        IdempotencyRecord known = store.get(key);
        if (known == null) {
            boolean kept = store.put(key, new IdempotencyRecord(State.RUNNING, call, tenant, fingerprint, nowMs, windowMs, nowMs));
            unrecorded += kept ? 0 : 1;
            return new Execute(kept);
        }
        if (known.fingerprint() != fingerprint || !java.util.Objects.equals(known.tenant(), tenant)) {
            return new Conflict();
        }
        if (known.isRunning()) {
            joined++;
            return new Join(known.callId());
        }
        if (known.state() == State.UNKNOWN && nowMs + MARGIN_MS < known.firstSentMs() + known.windowMs()) {
            return new Execute(store.put(key, known.rerunBy(call, nowMs)));
        }
        told++;
        return new Replay(known);
    }

    /** The call that runs under this key has ended. */
    public void callEnded(double nowMs, String key, String call, CallResult end) {
        IdempotencyRecord known = store.get(key);
        if (known == null || !known.isRunning() || !known.callId().equals(call)) {
            return;
        }
        switch (end) {
            case SERVED -> store.put(key, known.withState(State.RECORDED, nowMs));
            case MAY_HAVE_RUN -> store.put(key, known.withState(State.UNKNOWN, nowMs));
            case NOTHING_RAN -> {
                if (known.state() == State.RUNNING_AGAIN) {
                    store.put(key, known.withState(State.UNKNOWN, nowMs));
                } else {
                    store.remove(key);
                }
            }
        }
    }

    /** What is known of a key, for who gave it; null where nothing is, or it is not theirs. */
    public IdempotencyRecord find(double nowMs, String key, String tenant) {
        IdempotencyRecord known = store.get(key);
        boolean expired = known != null && !known.isRunning()
                && known.stateSinceMs() < nowMs - Math.max(keepMs, known.windowMs());
        return known == null || expired || !java.util.Objects.equals(known.tenant(), tenant) ? null : known;
    }

    /** Counts since the start, for whoever watches. */
    public String summary() {
        return "outcomes kept=" + store.size() + " told=" + told + " joined=" + joined + " unrecorded=" + unrecorded;
    }
}
