package ridgemill.idempotency;

/**
 * Where outcomes are kept. One in memory stands behind it today. A durable one must have what {@link #put} was given safe
 * before it returns: a key is put as running before anything of it is sent on, so that one that ran is never unknown after a
 * crash, and at worst one that never ran is told as unknown.
 */
public interface IdempotencyStore {

    /** What is known of a key; null where nothing is. */
    IdempotencyRecord get(String key);

    /** From now on this is known; false where there is no room, and then nothing changes. */
    boolean put(String key, IdempotencyRecord known);

    /** Nothing is known any more, as nothing ran. */
    void remove(String key);

    /** Forgets what came to stand as it does before this, but for what is running. */
    void expire(double beforeMs);

    /** How many keys there are. */
    int size();
}
