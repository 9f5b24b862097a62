package ridgemill.cdn.instances;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * All instances that a process knows of, and when each was last heard. Tables of several processes merge record by
 * record; an instance that has left stays known for a while, so that a late heartbeat does not bring it back.
 */
public final class InstanceTable {

    /** For how long an instance that has left is remembered, in milliseconds. */
    static final double GONE_RETENTION_MS = 600_000;
    /** After how much silence an instance is taken to have left for good, in milliseconds. */
    static final double SILENT_RETENTION_MS = 120_000;

    private final Map<String, Entry> entries = new HashMap<>();

    private static final class Entry {
        private Instance instance;
        private double heardAtMs;
        private long heardSequence;

        Entry(Instance instance, double nowMs) {
            this.instance = instance;
            this.heardAtMs = nowMs;
            this.heardSequence = instance.sequence();
        }
    }

    /**
     * Merges what is known of an instance.
     *
     * @return the records that changed in a way that matters to those who send requests: the instance itself if it is new
     *     or in another state, and instances whose address it has taken over; empty for a mere heartbeat
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
        boolean matters = instance.state() != entry.instance.state();
        entry.instance = instance;
        return matters ? List.of(instance) : List.of();
    }

    /** An address belongs to one instance at a time: whoever had it before has ended, whether it said so or not. */
    private List<Instance> markPredecessorsGone(Instance newcomer) {
        List<Instance> ended = new ArrayList<>();
        if (newcomer.state() == InstanceState.GONE) {
            return ended;
        }
        for (Entry entry : entries.values()) {
            Instance other = entry.instance;
            if (other.state() != InstanceState.GONE && other.address().equals(newcomer.address())) {
                entry.instance = other.asGone();
                ended.add(entry.instance);
            }
        }
        return ended;
    }

    /** Notes that an instance was heard, by this process or by another one that says so. */
    public void recordHeartbeat(String id, long sequence, double nowMs) {
        Entry entry = entries.get(id);
        if (entry != null && sequence > entry.heardSequence) {
            entry.heardSequence = sequence;
            entry.heardAtMs = nowMs;
        }
    }

    /** What is known of an instance, or null. */
    public Instance get(String id) {
        Entry entry = entries.get(id);
        return entry == null ? null : entry.instance;
    }

    /** All known instances, those that left included. */
    public Collection<Instance> all() {
        List<Instance> all = new ArrayList<>(entries.size());
        for (Entry entry : entries.values()) {
            all.add(entry.instance);
        }
        return Collections.unmodifiableList(all);
    }

    /** Identifiers of the instances that have not left and were not heard for longer than a bound, in order. */
    public List<String> unresponsive(double boundMs, double nowMs) {
        TreeSet<String> silent = new TreeSet<>();
        for (Entry entry : entries.values()) {
            if (entry.instance.state() != InstanceState.GONE && nowMs - entry.heardAtMs > boundMs) {
                silent.add(entry.instance.id());
            }
        }
        return List.copyOf(silent);
    }

    /** Forgets instances that left, or fell silent, long ago. */
    public void removeExpired(double nowMs) {
        entries.values()
                .removeIf(entry -> nowMs - entry.heardAtMs
                        > (entry.instance.state() == InstanceState.GONE ? GONE_RETENTION_MS : SILENT_RETENTION_MS));
    }
}
