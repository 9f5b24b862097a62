package ridgemill.idempotency;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Outcomes in memory, so many at most, oldest first in the order of their last change. Where there is no room, one whose
 * repeats are dropped by the nodes no longer, and of which nothing is open, goes for the next; none within its window does.
 */
public final class InMemoryIdempotencyStore implements IdempotencyStore {

    /** A look for room goes no further than this: those that can go are the oldest. */
    private static final int LOOKS = 64;

    private final Map<String, IdempotencyRecord> known = new LinkedHashMap<>();
    private final int most;
    private long evicted;

    /** One that keeps so many, at least 1. */
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
        // Behind all others, as it changed last.
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

    /** How many went before their time, for room. */
    public long evicted() {
        return evicted;
    }
}
