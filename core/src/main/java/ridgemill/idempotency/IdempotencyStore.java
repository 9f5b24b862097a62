package ridgemill.idempotency;

/**
 * Storage of idempotency records. The only implementation keeps them in memory. A durable implementation must have made
 * a record durable when {@link #put} returns: a key is stored as running before its write is sent, so that after a
 * crash a write that ran is never missing, and at worst a write that never ran is reported as unknown.
 */
public interface IdempotencyStore {

    /** The record of a key; null if there is none. */
    IdempotencyRecord get(String key);

    /** Stores a record; returns false, and changes nothing, if there is no room. */
    boolean put(String key, IdempotencyRecord next);

    /** Removes the record of a key whose write did not run. */
    void remove(String key);

    /** Removes the records whose state dates from before {@code beforeMs}, except those of running calls. */
    void expire(double beforeMs);

    /** The number of records. */
    int size();
}
