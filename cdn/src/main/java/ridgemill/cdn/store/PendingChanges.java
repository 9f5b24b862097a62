package ridgemill.cdn.store;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import ridgemill.cdn.config.Item;
import ridgemill.cdn.config.ItemName;
import ridgemill.cdn.keys.KeyRecord;

/** Joins batches in their order to one: of several changes of one item or key the last one stays. */
final class PendingChanges {

    private final Map<ItemName, Item> items = new LinkedHashMap<>();
    /** Null stands for a key whose record is dropped. */
    private final Map<String, KeyRecord> records = new LinkedHashMap<>();

    private List<String> voters;

    /** Adds a batch that comes after all added before. */
    void add(DiskBatch batch) {
        batch.items().forEach(item -> items.put(item.name(), item));
        batch.removedKeys().forEach(key -> records.put(key, null));
        batch.records().forEach(keyRecord -> records.put(keyRecord.key(), keyRecord));
        if (batch.voters() != null) {
            voters = batch.voters();
        }
    }

    boolean isEmpty() {
        return items.isEmpty() && records.isEmpty() && voters == null;
    }

    /** Forgets all: it is on disk. */
    void clear() {
        items.clear();
        records.clear();
        voters = null;
    }

    /** All that was added, as one batch. */
    DiskBatch toBatch() {
        List<KeyRecord> kept = new ArrayList<>();
        List<String> removed = new ArrayList<>();
        records.forEach((key, keyRecord) -> {
            if (keyRecord == null) {
                removed.add(key);
            } else {
                kept.add(keyRecord);
            }
        });
        return new DiskBatch(List.copyOf(items.values()), kept, removed, voters);
    }
}
