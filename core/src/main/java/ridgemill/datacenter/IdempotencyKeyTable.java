package ridgemill.datacenter;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Records for each recent keyed write in which datacenter it may have run, so that its duplicates go there and nowhere
 * else: only the nodes of one datacenter remember a key. If another datacenter asks about a key that this gateway does
 * not know, the gateway promises not to run it and records a fence; a later request with that key makes this gateway
 * query the others in turn. A fence does not say where the key ran, as another gateway of this datacenter may have run
 * it here. Entries are kept for longer than nodes remember keys, because a duplicate that arrives too late must be told
 * apart from a new key. The table is bounded; callers learn when an entry does not fit, and the write must then stay in
 * the home datacenter.
 */
final class IdempotencyKeyTable {

    /** How long entries are kept, as a multiple of the time for which nodes remember keys. */
    private static final double RETENTION_WINDOWS = 2;
    private static final int MAX_ENTRIES = 200_000;

    /**
     * Where a key may have run, since when, and for how long the nodes there drop its duplicates; for a fence, the
     * datacenter that was promised that it does not run here.
     */
    record Entry(String datacenter, double firstMs, double windowMs, boolean fence) {

        /** Whether nodes drop a duplicate that arrives at this time. */
        boolean dropsDuplicateAt(double atMs) {
            return atMs < firstMs + windowMs;
        }
    }

    private record Expiration(double atMs, String key, Entry entry) { }

    private final Map<String, Entry> entries = new HashMap<>();
    private final Deque<Expiration> expirations = new ArrayDeque<>();
    private final Set<String> pendingQueries = new HashSet<>();

    /** The entry of a key; null if nothing is known of it. */
    Entry find(double nowMs, String key) {
        expire(nowMs);
        return entries.get(key);
    }

    /**
     * Records that the key is sent to a datacenter; null if the table is full. The first time counts, as it does for
     * nodes.
     */
    Entry recordRun(double nowMs, String key, String datacenter, double firstMs, double windowMs) {
        expire(nowMs);
        Entry known = entries.get(key);
        return known != null && !known.fence() && known.datacenter().equals(datacenter) ? known
                : put(nowMs, key, new Entry(datacenter, firstMs, windowMs, false), windowMs);
    }

    /** Records the promise to a datacenter that the key does not run here from now on; null if the table is full. */
    Entry fence(double nowMs, String key, String datacenter, double windowMs) {
        expire(nowMs);
        return put(nowMs, key, new Entry(datacenter, nowMs, windowMs, true), windowMs);
    }

    private Entry put(double nowMs, String key, Entry entry, double windowMs) {
        if (!entries.containsKey(key) && entries.size() >= MAX_ENTRIES) {
            return null;
        }
        entries.put(key, entry);
        expirations.addLast(new Expiration(nowMs + RETENTION_WINDOWS * windowMs, key, entry));
        return entry;
    }

    /** Removes an entry once it is proven that the request that made it never ran. */
    void clear(String key, Entry entry) {
        entries.remove(key, entry);
    }

    /** Records whether this gateway is querying others about the key. */
    void setQueryPending(String key, boolean pending) {
        if (pending) {
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
