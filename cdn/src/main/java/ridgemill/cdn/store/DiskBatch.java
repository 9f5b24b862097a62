package ridgemill.cdn.store;

import java.util.List;
import ridgemill.cdn.config.Item;
import ridgemill.cdn.keys.KeyRecord;

/**
 * Changes that reach the disk together or not at all.
 *
 * @param items item versions that replace those on disk
 * @param records key records that replace those on disk
 * @param removedKeys keys whose records are dropped
 * @param voters the IP addresses of the voters; null if they do not change. A disk that holds them holds all that this
 *     replica ever acknowledged
 */
record DiskBatch(List<Item> items, List<KeyRecord> records, List<String> removedKeys, List<String> voters) {

    /** No change: done once all earlier changes are on disk. */
    static final DiskBatch NONE = new DiskBatch(List.of(), List.of(), List.of(), null);

    static DiskBatch ofItems(List<Item> items) {
        return new DiskBatch(items, List.of(), List.of(), null);
    }

    static DiskBatch ofRecord(KeyRecord record) {
        return new DiskBatch(List.of(), List.of(record), List.of(), null);
    }

    static DiskBatch ofRemovedKeys(List<String> keys) {
        return new DiskBatch(List.of(), List.of(), keys, null);
    }

    static DiskBatch ofVoters(List<String> voters) {
        return new DiskBatch(List.of(), List.of(), List.of(), voters);
    }

    boolean isEmpty() {
        return items.isEmpty() && records.isEmpty() && removedKeys.isEmpty() && voters == null;
    }
}
