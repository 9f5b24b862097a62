package ridgemill.cdn.edge;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A cache of whole objects with bounded memory and least-recently-used eviction. */
public final class ObjectCache {

    /** An object may take at most the capacity divided by this. */
    private static final int MAX_OBJECT_DIVISOR = 4;

    /** A cached object and how often it was used. */
    private static final class Entry {
        private final CachedObject copy;
        private int uses;

        private Entry(CachedObject copy) {
            this.copy = copy;
        }
    }

    private long capacityBytes;
    private final LinkedHashMap<String, Entry> byKey = new LinkedHashMap<>(64, 0.75f, true);
    private final Map<String, Set<String>> keysByTag = new HashMap<>();
    private long sizeBytes;

    /** An empty cache with a capacity in bytes, against which the estimated sizes of the objects count. */
    public ObjectCache(long capacityBytes) {
        this.capacityBytes = capacityBytes;
    }

    /** Changes the capacity, in bytes; objects above it are removed, the least recently used first. */
    public void setCapacity(long bytes) {
        capacityBytes = bytes;
        evict();
    }

    /** The object with this key; null if it is not cached. */
    public CachedObject get(String key) {
        Entry kept = byKey.get(key);
        return kept == null ? null : kept.copy;
    }

    /** Counts a use of the object with this key. Returns the number of uses so far; 0 if the object is not cached. */
    public int countUse(String key) {
        Entry kept = byKey.get(key);
        return kept == null ? 0 : ++kept.uses;
    }

    /** Resets the number of uses of the object with this key. */
    public void resetUses(String key) {
        Entry kept = byKey.get(key);
        if (kept != null) {
            kept.uses = 0;
        }
    }

    /**
     * Stores an object in place of an older copy. An object that is too large is not stored; the older copy is removed.
     */
    public void put(CachedObject copy) {
        remove(copy.key());
        if (copy.sizeBytes() > capacityBytes / MAX_OBJECT_DIVISOR) {
            return;
        }
        byKey.put(copy.key(), new Entry(copy));
        sizeBytes += copy.sizeBytes();
        for (String tag : copy.tags()) {
            keysByTag.computeIfAbsent(tag, t -> new HashSet<>()).add(copy.key());
        }
        evict();
    }

    private void evict() {
        while (sizeBytes > capacityBytes) {
            remove(byKey.values().iterator().next().copy.key());
        }
    }

    /** Removes the object with this key. */
    public void remove(String key) {
        Entry kept = byKey.remove(key);
        if (kept == null) {
            return;
        }
        CachedObject copy = kept.copy;
        sizeBytes -= copy.sizeBytes();
        for (String tag : copy.tags()) {
            Set<String> keys = keysByTag.get(tag);
            if (keys != null && keys.remove(key) && keys.isEmpty()) {
                keysByTag.remove(tag);
            }
        }
    }

    /** Removes all objects that carry this tag and whose fetch started before a time, in milliseconds. */
    public void removeByTag(String tag, double fetchedBeforeMs) {
        for (String key : List.copyOf(keysByTag.getOrDefault(tag, Set.of()))) {
            if (get(key).fetchStartedMs() < fetchedBeforeMs) {
                remove(key);
            }
        }
    }

    /** The estimated memory in use, in bytes. */
    public long sizeBytes() {
        return sizeBytes;
    }

    /** The number of cached objects. */
    public int count() {
        return byKey.size();
    }
}
