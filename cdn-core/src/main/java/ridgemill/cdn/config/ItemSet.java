package ridgemill.cdn.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.TreeMap;

/**
 * A replica's copy of the configuration: the newest known version of each item, tombstones included. Merging is
 * associative, commutative and idempotent, so replicas that have seen the same versions hold equal sets.
 */
public final class ItemSet {

    private final TreeMap<ItemName, Item> items = new TreeMap<>();

    /** Merges one version. Returns whether it is newer than the one held before. */
    public boolean merge(Item item) {
        if (!item.supersedes(items.get(item.name()))) {
            return false;
        }
        items.put(item.name(), item);
        return true;
    }

    /** Merges all versions. Returns those that are newer than the ones held before. */
    public List<Item> mergeAll(Collection<Item> versions) {
        List<Item> changed = new ArrayList<>();
        for (Item version : versions) {
            if (merge(version)) {
                changed.add(version);
            }
        }
        return changed;
    }

    /** The newest known version of an item, which may be a tombstone; null if the item is unknown. */
    public Item get(ItemName name) {
        return items.get(name);
    }

    /** All items in the order of their names, tombstones included. */
    public Collection<Item> all() {
        return Collections.unmodifiableCollection(items.values());
    }

    /** Whether no item was ever set or removed. */
    public boolean isEmpty() {
        return items.isEmpty();
    }

    /** An independent copy. */
    public ItemSet copy() {
        ItemSet copy = new ItemSet();
        copy.items.putAll(items);
        return copy;
    }

    /** A checksum over all items: replicas with equal digests hold equal sets, except for hash collisions. */
    public long digest() {
        long hash = 0;
        for (Item item : items.values()) {
            hash = Checksum.mix(hash, item.name().kind().ordinal());
            hash = Checksum.mix(hash, item.name().name().hashCode());
            hash = Checksum.mix(hash, item.version());
            hash = Checksum.mix(
                    hash, item.isTombstone() ? 0 : 1 + (long) item.content().hashCode());
        }
        return hash;
    }
}
