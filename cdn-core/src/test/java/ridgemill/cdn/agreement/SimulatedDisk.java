package ridgemill.cdn.agreement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import ridgemill.cdn.config.ItemName;
import ridgemill.cdn.config.VersionedItem;
import ridgemill.cdn.keys.KeyRecord;

/** A disk of a {@link ClusterSimulation}, with its synced contents and the later writes in order. */
final class SimulatedDisk {

    private record Write(AcceptorRecord accepted, KeyRecord key, Runnable durable) {}

    final String diskId;
    /** The founders that are kept with the identifier; empty unless the disk was there at the first start. */
    final List<String> founders;

    private final Deque<Write> pending = new ArrayDeque<>();
    private final Map<ItemName, VersionedItem> items = new TreeMap<>();
    final Map<String, KeyRecord> keys = new TreeMap<>();
    private AcceptorRecord accepted = AcceptorRecord.EMPTY;
    /** Whether the disk writes nothing at present. */
    boolean stalled;

    SimulatedDisk(String diskId, List<String> founders) {
        this.diskId = diskId;
        this.founders = founders;
    }

    void write(AcceptorRecord record, KeyRecord key, Runnable durable) {
        pending.add(new Write(record, key, durable));
    }

    /** Syncs the oldest write, which survives a power loss from now on. Returns its callback. */
    Runnable sync() {
        Write write = pending.poll();
        apply(write);
        return write.durable();
    }

    private void apply(Write write) {
        if (write.accepted() != null) {
            accepted = write.accepted();
            if (accepted.replaces()) {
                items.clear();
            }
            accepted.items().forEach(entry -> items.put(entry.item().name(), entry));
        }
        if (write.key() != null) {
            keys.put(write.key().key(), write.key());
        }
    }

    boolean hasPending() {
        return !pending.isEmpty();
    }

    /** Discards the writes that were not synced, except for the given number of the oldest ones. */
    void crash(int writes) {
        for (int i = 0; i < writes && !pending.isEmpty(); i++) {
            apply(pending.poll());
        }
        pending.clear();
    }

    int pendingCount() {
        return pending.size();
    }

    AcceptorRecord read() {
        return new AcceptorRecord(
                accepted.promised(), accepted.accepted(), accepted.voters(), List.copyOf(items.values()), true);
    }
}
