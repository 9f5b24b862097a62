package ridgemill.cdn.edge;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Whole objects within a bound of memory; the least recently used go first. */
public final class ObjectCache {

    /** An object may take this part of the memory at most. */
    private static final int LARGEST_PART = 4;

    /** A copy and how often it was used. */
    private static final class Kept {
        private final CachedObject copy;
        private int uses;

        private Kept(CachedObject copy) {
            this.copy = copy;
        }
    }

    private final long capacity;
    private final LinkedHashMap<String, Kept> byKey = new LinkedHashMap<>(64, 0.75f, true);
    private final Map<String, Set<String>> keysByTag = new HashMap<>();
    private long size;

    /** An empty cache that takes so many bytes at most, roughly. */
    public ObjectCache(long capacityBytes) {
        this.capacity = capacityBytes;
    }

    /** The copy under a key; null if there is none. */
    public CachedObject get(String key) {
        Kept kept = byKey.get(key);
        return kept == null ? null : kept.copy;
    }

    /** Counts a use of the copy under a key and returns how many there were; 0 if there is no copy. */
    public int use(String key) {
        Kept kept = byKey.get(key);
        return kept == null ? 0 : ++kept.uses;
    }

    /** Counts the uses of the copy under a key anew. */
    public void forgetUses(String key) {
        Kept kept = byKey.get(key);
        if (kept != null) {
            kept.uses = 0;
        }
    }

    /** Keeps a copy in place of an older one. A copy that is too large is not kept, and the older one goes too. */
    public void put(CachedObject copy) {
        remove(copy.key());
        if (copy.size() > capacity / LARGEST_PART) {
            return;
        }
        byKey.put(copy.key(), new Kept(copy));
        size += copy.size();
        for (String tag : copy.tags()) {
            keysByTag.computeIfAbsent(tag, t -> new HashSet<>()).add(copy.key());
        }
        while (size > capacity) {
            remove(byKey.values().iterator().next().copy.key());
        }
    }

    /** Drops the copy under a key. */
    public void remove(String key) {
        Kept kept = byKey.remove(key);
        if (kept == null) {
            return;
        }
        CachedObject copy = kept.copy;
        size -= copy.size();
        for (String tag : copy.tags()) {
            Set<String> keys = keysByTag.get(tag);
            if (keys != null && keys.remove(key) && keys.isEmpty()) {
                keysByTag.remove(tag);
            }
        }
    }

    /** Drops all copies that carry a tag. */
    public void removeTagged(String tag) {
        Set<String> keys = keysByTag.remove(tag);
        if (keys != null) {
            for (String key : keys) {
                remove(key);
            }
        }
    }

    /** The memory that is used, in bytes, roughly. */
    public long size() {
        return size;
    }

    /** How many copies there are. */
    public int count() {
        return byKey.size();
    }
}
