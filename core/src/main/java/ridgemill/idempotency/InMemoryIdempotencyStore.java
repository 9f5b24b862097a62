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
    private static final int LOOKS = 64;

    private final Map<String, IdempotencyRecord> known = new LinkedHashMap<>();
    private final int most;
    private long evicted;

    /** Creates an empty store of at most {@code capacity} records, at least 1. */
    public InMemoryIdempotencyStore(int most) {
        if (most < 1) {
            throw new IllegalArgumentException("room for " + most + " outcomes");
        }
        this.most = most;
    }

    @Override
    public IdempotencyRecord get(String key) {
        return known.get(key);
    }

    @Override
    public boolean put(String key, IdempotencyRecord next) {
        // Removed first, so that the record moves to the end of the order.
        boolean there = known.remove(key) != null;
        if (!there && known.size() >= most && !makeRoom(next.stateSinceMs())) {
            return false;
        }
        known.put(key, next);
        return true;
    }

    private boolean makeRoom(double nowMs) {
        Iterator<IdempotencyRecord> oldest = known.values().iterator();
        for (int i = 0; i < LOOKS && oldest.hasNext(); i++) {
            IdempotencyRecord k = oldest.next();
            if (!k.isRunning() && nowMs >= k.firstSentMs() + k.windowMs()) {
                oldest.remove();
                evicted++;
                return true;
            }
        }
        return false;
    }

    @Override
    public void remove(String key) {
        known.remove(key);
    }

    @Override
    public void expire(double beforeMs) {
        Iterator<IdempotencyRecord> oldest = known.values().iterator();
        while (oldest.hasNext()) {
            IdempotencyRecord k = oldest.next();
            if (k.stateSinceMs() >= beforeMs) {
                return;
            }
            if (!k.isRunning()) {
                oldest.remove();
            }
        }
    }

    @Override
    public int size() {
        return known.size();
    }

    /** The number of records that were evicted to make room. */
    public long evicted() {
        return evicted;
    }
}
