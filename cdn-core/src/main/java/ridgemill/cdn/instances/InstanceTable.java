package ridgemill.cdn.instances;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * All instances that a process knows, with the time of the last heartbeat of each. Tables of several processes are
 * merged record by record. An instance that is gone is kept for a while, so that a late heartbeat does not bring it
 * back.
 */
public final class InstanceTable {

    /** How long an instance that is gone is kept, in milliseconds. */
    static final double GONE_RETENTION_MS = 600_000;
    /** An instance without a heartbeat for this long is removed, in milliseconds. */
    static final double SILENT_RETENTION_MS = 120_000;

    private final Map<String, Entry> entries = new HashMap<>();

    private static final class Entry {
        private Instance instance;
        private double lastHeartbeatMs;
        private long lastSequence;

        Entry(Instance instance, double nowMs) {
            this.instance = instance;
            this.lastHeartbeatMs = nowMs;
            this.lastSequence = instance.sequence();
        }
    }

    /**
     * Merges a record of an instance.
     *
     * @return the records whose change matters to processes that send requests: the instance itself if it is new or in
     *     another state, and instances whose address it has taken over; empty if only the heartbeat is new
     */
    public List<Instance> merge(Instance instance, double nowMs) {
        Entry entry = entries.get(instance.id());
        if (entry == null) {
            List<Instance> changed = markPredecessorsGone(instance);
            entries.put(instance.id(), new Entry(instance, nowMs));
            changed.add(instance);
            return changed;
        }
        recordHeartbeat(instance.id(), instance.sequence(), nowMs);
        if (!instance.supersedes(entry.instance)) {
            return List.of();
        }
        boolean stateChanged = instance.state() != entry.instance.state();
        entry.instance = instance;
        return stateChanged ? List.of(instance) : List.of();
    }

    /**
     * Marks the instances that had the address of a new one before as gone, whether or not they reported that. An
     * address belongs to one instance at a time.
     */
    private List<Instance> markPredecessorsGone(Instance added) {
        List<Instance> ended = new ArrayList<>();
        if (added.state() == InstanceState.GONE) {
            return ended;
        }
        for (Entry entry : entries.values()) {
            Instance other = entry.instance;
            if (other.state() != InstanceState.GONE && other.address().equals(added.address())) {
                entry.instance = other.asGone();
                ended.add(entry.instance);
            }
        }
        return ended;
    }

    /** Records a heartbeat of an instance, received by this process or reported by another one. */
    public void recordHeartbeat(String id, long sequence, double nowMs) {
        Entry entry = entries.get(id);
        if (entry != null && sequence > entry.lastSequence) {
            entry.lastSequence = sequence;
            entry.lastHeartbeatMs = nowMs;
        }
    }

    /** The record of an instance; null if it is unknown. */
    public Instance get(String id) {
        Entry entry = entries.get(id);
        return entry == null ? null : entry.instance;
    }

    /** All known instances, including those that are gone. */
    public Collection<Instance> all() {
        List<Instance> all = new ArrayList<>(entries.size());
        for (Entry entry : entries.values()) {
            all.add(entry.instance);
        }
        return Collections.unmodifiableList(all);
    }

    /** The sorted identifiers of the instances that are not gone and whose last heartbeat is older than a bound. */
    public List<String> unresponsive(double boundMs, double nowMs) {
        TreeSet<String> silent = new TreeSet<>();
        for (Entry entry : entries.values()) {
            if (entry.instance.state() != InstanceState.GONE && nowMs - entry.lastHeartbeatMs > boundMs) {
                silent.add(entry.instance.id());
            }
        }
        return List.copyOf(silent);
    }

    /** Removes instances whose retention time after the last heartbeat is over. */
    public void removeExpired(double nowMs) {
        entries.values()
                .removeIf(entry -> nowMs - entry.lastHeartbeatMs
                        > (entry.instance.state() == InstanceState.GONE ? GONE_RETENTION_MS : SILENT_RETENTION_MS));
    }
}
