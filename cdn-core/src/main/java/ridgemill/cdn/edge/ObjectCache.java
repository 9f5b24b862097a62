package ridgemill.cdn.edge;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Whole objects within a bound of memory; the least recently used go first. */
public final class ObjectCache {

    /** An object may take this part of the memory at most. */
    private static final int MAX_OBJECT_DIVISOR = 4;

    /** A copy and how often it was used. */
    private static final class Entry {
        private final CachedObject copy;
        private int uses;

        private Entry(CachedObject copy) {
            this.copy = copy;
        }
    }

    private final long capacityBytes;
    private final LinkedHashMap<String, Entry> byKey = new LinkedHashMap<>(64, 0.75f, true);
    private final Map<String, Set<String>> keysByTag = new HashMap<>();
    private long sizeBytes;

    /** An empty cache that takes so many bytes at most, roughly. */
    public ObjectCache(long capacityBytes) {
        this.capacityBytes = capacityBytes;
    }

    /** The copy under a key; null if there is none. */
    public CachedObject get(String key) {
        Entry kept = byKey.get(key);
        return kept == null ? null : kept.copy;
    }

    /** Counts a use of the copy under a key and returns how many there were; 0 if there is no copy. */
    public int countUse(String key) {
        Entry kept = byKey.get(key);
        return kept == null ? 0 : ++kept.uses;
    }

    /** Counts the uses of the copy under a key anew. */
    public void resetUses(String key) {
        Entry kept = byKey.get(key);
        if (kept != null) {
            kept.uses = 0;
        }
    }

    /** Keeps a copy in place of an older one. A copy that is too large is not kept, and the older one goes too. */
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
        while (sizeBytes > capacityBytes) {
            remove(byKey.values().iterator().next().copy.key());
        }
    }

    /** Drops the copy under a key. */
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

    /** Drops all copies that carry a tag. */
    public void removeByTag(String tag) {
        Set<String> keys = keysByTag.remove(tag);
        if (keys != null) {
            for (String key : keys) {
                remove(key);
            }
        }
    }

    /** The memory that is used, in bytes, roughly. */
    public long sizeBytes() {
        return sizeBytes;
    }

    /** How many copies there are. */
    public int count() {
        return byKey.size();
    }
}
