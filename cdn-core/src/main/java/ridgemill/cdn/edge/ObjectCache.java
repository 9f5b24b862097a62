package ridgemill.cdn.edge;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Whole objects within a bound of memory; the least recently used go first. */
public final class ObjectCache {

    /** An object may take this part of the memory at most. */
    private static final int LARGEST_PART = 4;

    private final long capacity;
    private final LinkedHashMap<String, CachedObject> byKey = new LinkedHashMap<>(64, 0.75f, true);
    private final Map<String, Set<String>> keysByTag = new HashMap<>();
    private long size;

    /** An empty cache that takes so many bytes at most, roughly. */
    public ObjectCache(long capacityBytes) {
        this.capacity = capacityBytes;
    }

    /** The copy under a key; null if there is none. */
    public CachedObject get(String key) {
        return byKey.get(key);
    }

    /** Keeps a copy in place of an older one. A copy that is too large is not kept, and the older one goes too. */
    public void put(CachedObject copy) {
        remove(copy.key());
        if (copy.size() > capacity / LARGEST_PART) {
            return;
        }
        byKey.put(copy.key(), copy);
        size += copy.size();
        for (String tag : copy.tags()) {
            keysByTag.computeIfAbsent(tag, t -> new HashSet<>()).add(copy.key());
        }
        while (size > capacity) {
            Iterator<CachedObject> oldest = byKey.values().iterator();
            remove(oldest.next().key());
        }
    }

    /** Drops the copy under a key. */
    public void remove(String key) {
        CachedObject copy = byKey.remove(key);
        if (copy == null) {
            return;
        }
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
