package ridgemill.cdn.store;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import ridgemill.cdn.agreement.AcceptorRecord;
import ridgemill.cdn.config.ItemName;
import ridgemill.cdn.config.VersionedItem;
import ridgemill.cdn.keys.KeyRecord;

/** Merges consecutive batches into one. Of several changes to one item or key the last one is kept. */
final class PendingChanges {

    private final Map<ItemName, VersionedItem> items = new LinkedHashMap<>();
    /** A null value marks a key whose record is removed. */
    private final Map<String, KeyRecord> records = new LinkedHashMap<>();

    private DiskIdentity identity;
    private AcceptorRecord accepted;
    private boolean replaces;

    /** Adds a batch that follows all batches added before. */
    void add(DiskBatch batch) {
        batch.removedKeys().forEach(key -> records.put(key, null));
        batch.records().forEach(keyRecord -> records.put(keyRecord.key(), keyRecord));
        if (batch.identity() != null) {
            identity = batch.identity();
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
        return accepted == null && records.isEmpty() && identity == null;
    }

    /** Discards all changes, once they are on disk. */
    void clear() {
        items.clear();
        records.clear();
        identity = null;
        accepted = null;
        replaces = false;
    }

    /** Returns all added changes as one batch. */
    DiskBatch toBatch() {
        List<KeyRecord> keptRecords = new ArrayList<>();
        List<String> removedKeys = new ArrayList<>();
        records.forEach((key, keyRecord) -> {
            if (keyRecord == null) {
                removedKeys.add(key);
            } else {
                keptRecords.add(keyRecord);
            }
        });
        AcceptorRecord mergedRecord = accepted == null
                ? null
                : new AcceptorRecord(
                        accepted.promised(),
                        accepted.accepted(),
                        accepted.voters(),
                        List.copyOf(items.values()),
                        replaces);
        return new DiskBatch(identity, mergedRecord, keptRecords, removedKeys);
    }
}
