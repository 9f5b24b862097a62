package ridgemill.cdn.store;

import java.util.List;
import ridgemill.cdn.agreement.AcceptorRecord;
import ridgemill.cdn.keys.KeyRecord;

/**
 * The contents of a disk when it was opened.
 *
 * @param identity the identity that was given to the disk at its first use; null if it is new
 * @param accepted the acceptor record (promised and accepted state), with all items
 * @param records all key records
 * @param lost whether the disk held unreadable data that was moved to another folder
 */
record StoredState(DiskIdentity identity, AcceptorRecord accepted, List<KeyRecord> records, boolean lost) {

    /** Returns the state of an empty disk. */
    static StoredState empty(boolean lost) {
        return new StoredState(null, AcceptorRecord.EMPTY, List.of(), lost);
    }
}
