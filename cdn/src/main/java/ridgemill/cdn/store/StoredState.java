package ridgemill.cdn.store;

import java.util.List;
import ridgemill.cdn.agreement.AcceptorRecord;
import ridgemill.cdn.keys.KeyRecord;

/**
 * What a disk held when it was opened.
 *
 * @param diskId the name that the disk got when it was first used; null if it is new
 * @param accepted what the store promised and accepted, with all items
 * @param records all key records
 * @param lost whether the disk held something that could not be read and was moved aside
 */
record StoredState(String diskId, AcceptorRecord accepted, List<KeyRecord> records, boolean lost) {

    /** An empty disk. */
    static StoredState empty(boolean lost) {
        return new StoredState(null, AcceptorRecord.EMPTY, List.of(), lost);
    }
}
