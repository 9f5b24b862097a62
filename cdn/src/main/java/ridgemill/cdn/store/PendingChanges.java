package ridgemill.cdn.store;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import ridgemill.cdn.agreement.AcceptorRecord;
import ridgemill.cdn.config.ItemName;
import ridgemill.cdn.config.VersionedItem;
import ridgemill.cdn.keys.KeyRecord;

/** Joins batches in their order to one: of several changes of one item or key the last one stays. */
final class PendingChanges {

    private final Map<ItemName, VersionedItem> items = new LinkedHashMap<>();
    /** Null stands for a key whose record is dropped. */
    private final Map<String, KeyRecord> records = new LinkedHashMap<>();

    private String diskId;
    private AcceptorRecord accepted;
    private boolean replaces;

    /** Adds a batch that comes after all added before. */
    void add(DiskBatch batch) {
        batch.removedKeys().forEach(key -> records.put(key, null));
        batch.records().forEach(keyRecord -> records.put(keyRecord.key(), keyRecord));
        if (batch.diskId() != null) {
            diskId = batch.diskId();
        }
        if (batch.accepted() != null) {
            accepted = batch.accepted();
            if (accepted.replaces()) {
                items.clear();
                replaces = true;
            }
            accepted.items().forEach(entry -> items.put(entry.item().name(), entry));
        }
    }

    boolean isEmpty() {
        return accepted == null && records.isEmpty() && diskId == null;
    }

    /** Forgets all: it is on disk. */
    void clear() {
        items.clear();
        records.clear();
        diskId = null;
        accepted = null;
        replaces = false;
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
        AcceptorRecord joined = accepted == null
                ? null
                : new AcceptorRecord(
                        accepted.promised(),
                        accepted.accepted(),
                        accepted.voters(),
                        List.copyOf(items.values()),
                        replaces);
        return new DiskBatch(diskId, joined, kept, removed);
    }
}
