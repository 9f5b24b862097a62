package ridgemill.idempotency;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A bounded store in memory, ordered by the last change of each record, oldest first. If it is full, a record is
 * evicted that has no open call and whose duplicates the nodes no longer drop. A record within its window is never
 * evicted.
 */
public final class InMemoryIdempotencyStore implements IdempotencyStore {

    /** How many of the oldest records a search for one to evict examines: those that can be evicted are the oldest. */
    private static final int MAX_EVICTION_PROBES = 64;

    private final Map<String, IdempotencyRecord> records = new LinkedHashMap<>();
    private final int capacity;
    private long evicted;

    /** Creates an empty store of at most {@code capacity} records, at least 1. */
    public InMemoryIdempotencyStore(int capacity) {
        if (capacity < 1) {
            throw new IllegalArgumentException("a capacity of " + capacity + " records is below the minimum of 1");
        }
        this.capacity = capacity;
    }

    @Override
    public IdempotencyRecord get(String key) {
        return records.get(key);
    }

    @Override
    public boolean put(String key, IdempotencyRecord next) {
        // Removed first, so that the record moves to the end of the order.
        boolean existed = records.remove(key) != null;
        if (!existed && records.size() >= capacity && !evictOne(next.stateSinceMs())) {
            return false;
        }
        records.put(key, next);
        return true;
    }

    private boolean evictOne(double nowMs) {
        Iterator<IdempotencyRecord> oldest = records.values().iterator();
        for (int i = 0; i < MAX_EVICTION_PROBES && oldest.hasNext(); i++) {
            IdempotencyRecord candidate = oldest.next();
            if (!candidate.isRunning() && nowMs >= candidate.firstSentMs() + candidate.windowMs()) {
                oldest.remove();
                evicted++;
                return true;
            }
        }
        return false;
    }

    @Override
    public void remove(String key) {
        records.remove(key);
    }

    @Override
    public void expire(double beforeMs) {
        Iterator<IdempotencyRecord> oldest = records.values().iterator();
        while (oldest.hasNext()) {
            IdempotencyRecord candidate = oldest.next();
            if (candidate.stateSinceMs() >= beforeMs) {
                return;
            }
            if (!candidate.isRunning()) {
                oldest.remove();
            }
        }
    }

    @Override
    public int size() {
        return records.size();
    }

    /** The number of records that were evicted to make room. */
    public long evicted() {
        return evicted;
    }
}
