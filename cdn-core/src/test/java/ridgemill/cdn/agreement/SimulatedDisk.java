package ridgemill.cdn.agreement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import ridgemill.cdn.config.ItemName;
import ridgemill.cdn.config.VersionedItem;
import ridgemill.cdn.keys.KeyRecord;

/** A disk of a {@link ClusterSimulation}: what was synced, and what was written after that in its order. */
final class SimulatedDisk {

    private record Write(AcceptorRecord accepted, KeyRecord key, Runnable durable) {}

    final String diskId;
    private final Deque<Write> pending = new ArrayDeque<>();
    private final Map<ItemName, VersionedItem> items = new TreeMap<>();
    final Map<String, KeyRecord> keys = new TreeMap<>();
    private AcceptorRecord accepted = AcceptorRecord.EMPTY;
    /** Whether it takes nothing more at present. */
    boolean stuck;

    SimulatedDisk(String diskId) {
        this.diskId = diskId;
    }

    void write(AcceptorRecord record, KeyRecord key, Runnable durable) {
        pending.add(new Write(record, key, durable));
    }

    /** The oldest write survives a loss of power from now on; returns what is to be told of it. */
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

    /** The process is gone; of what it had written only so many writes are there. */
    void keepOnly(int writes) {
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
