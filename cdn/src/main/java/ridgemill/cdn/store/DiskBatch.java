package ridgemill.cdn.store;

import java.util.List;
import ridgemill.cdn.agreement.AcceptorRecord;
import ridgemill.cdn.keys.KeyRecord;

/**
 * A set of changes that is written to the disk atomically.
 *
 * @param identity the new identity of the disk; null if it does not change
 * @param accepted the new acceptor record (promised and accepted state); null if it does not change
 * @param records key records that replace those on disk
 * @param removedKeys keys whose records are removed
 */
record DiskBatch(DiskIdentity identity, AcceptorRecord accepted, List<KeyRecord> records, List<String> removedKeys) {

    /** An empty batch, which completes once all earlier batches are on disk. */
    static final DiskBatch NONE = new DiskBatch(null, null, List.of(), List.of());

    static DiskBatch ofIdentity(DiskIdentity identity) {
        return new DiskBatch(identity, null, List.of(), List.of());
    }

    static DiskBatch ofAccepted(AcceptorRecord accepted) {
        return new DiskBatch(null, accepted, List.of(), List.of());
    }

    static DiskBatch ofRecord(KeyRecord record) {
        return new DiskBatch(null, null, List.of(record), List.of());
    }

    static DiskBatch ofRecords(List<KeyRecord> records) {
        return new DiskBatch(null, null, records, List.of());
    }

    static DiskBatch ofRemovedKeys(List<String> keys) {
        return new DiskBatch(null, null, List.of(), keys);
    }
}
