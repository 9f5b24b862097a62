package ridgemill.datacenter;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * In which hall each keyed write of late may have run, by its key, so that its repeats go there and nowhere else: only one
 * hall's nodes remember it. A gateway that was asked by another hall and knew nothing of a key has promised not to run it:
 * it is fenced, and whoever comes for it later makes this gateway ask in its turn. A fence says nothing of where the key
 * ran, as a gateway beside this one may have run it here. Entries are kept for longer than nodes remember, as a
 * repeat that comes too late must be told from a key that is new. Bounded; what does not fit is said, and the write then
 * must stay at home.
 */
final class IdempotencyKeyTable {

    /** So much longer than nodes remember. */
    private static final double RETENTION_WINDOWS = 2;
    private static final int MAX_ENTRIES = 200_000;

    /**
     * Where a key may have run, since when, and for how long the nodes there drop its repeats; or, for a fence, which hall
     * was told that it does not run here.
     */
    record Entry(String datacenter, double firstMs, double windowMs, boolean fence) {

        /** Whether a repeat that arrives by then is dropped. */
        boolean dropsDuplicateAt(double atMs) {
            return atMs < firstMs + windowMs;
        }
    }

    private record Expiration(double atMs, String key, Entry entry) { }

    private final Map<String, Entry> entries = new HashMap<>();
    private final Deque<Expiration> expirations = new ArrayDeque<>();
    private final Set<String> pendingQueries = new HashSet<>();

    /** Where the key may have run; null where nothing is known of it. */
    Entry find(double nowMs, String key) {
        expire(nowMs);
        return entries.get(key);
    }

    /** The key goes to a hall; null where it can't be remembered. The first time counts, as with the nodes. */
    Entry recordRun(double nowMs, String key, String hall, double firstMs, double windowMs) {
        expire(nowMs);
        Entry known = entries.get(key);
        return known != null && !known.fence() && known.datacenter().equals(hall) ? known
                : put(nowMs, key, new Entry(hall, firstMs, windowMs, false), windowMs);
    }

    /** The key does not run here from now on, as a hall was told; null where that can't be remembered. */
    Entry fence(double nowMs, String key, String hall, double windowMs) {
        expire(nowMs);
        return put(nowMs, key, new Entry(hall, nowMs, windowMs, true), windowMs);
    }

    private Entry put(double nowMs, String key, Entry next, double windowMs) {
        if (!entries.containsKey(key) && entries.size() >= MAX_ENTRIES) {
            return null;
        }
        entries.put(key, next);
        expirations.addLast(new Expiration(nowMs + RETENTION_WINDOWS * windowMs, key, next));
        return next;
    }

    /** It was proven that what made this entry never ran. */
    void clear(String key, Entry entry) {
        entries.remove(key, entry);
    }

    /** This gateway asks others about the key, or has its answer. */
    void setQueryPending(String key, boolean begins) {
        if (begins) {
            pendingQueries.add(key);
        } else {
            pendingQueries.remove(key);
        }
    }

    boolean isQueryPending(String key) {
        return pendingQueries.contains(key);
    }

    int size() {
        return entries.size();
    }

    private void expire(double nowMs) {
        while (!expirations.isEmpty() && expirations.peekFirst().atMs() <= nowMs) {
            Expiration d = expirations.removeFirst();
            entries.remove(d.key(), d.entry());
        }
    }
}
