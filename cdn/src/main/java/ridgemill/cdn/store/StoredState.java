package ridgemill.cdn.store;

import java.util.List;
import ridgemill.cdn.config.Item;
import ridgemill.cdn.keys.KeyRecord;

/**
 * What a disk held when it was opened.
 *
 * @param voters the IP addresses of the voters; empty if the disk is not complete
 * @param items all items, drops included
 * @param records all key records
 * @param lost whether the disk held something that could not be read and was moved aside
 */
record StoredState(List<String> voters, List<Item> items, List<KeyRecord> records, boolean lost) {

    /** An empty disk. */
    static StoredState empty(boolean lost) {
        return new StoredState(List.of(), List.of(), List.of(), lost);
    }
}
