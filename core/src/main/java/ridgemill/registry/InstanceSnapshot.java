package ridgemill.registry;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import ridgemill.membership.Instance;

/**
 * The instances that a registry has in one application, with a digest by which two proxies can tell that they have the
 * same: the sum of 64 bits of the SHA-256 of each record, so that it does not depend on their order and an update costs
 * no more than its changes. Start times are not part of the digest, as a proxy knows them only of restarts that it has
 * observed. Immutable.
 */
public final class InstanceSnapshot {

    /** A snapshot without instances. */
    public static final InstanceSnapshot EMPTY = new InstanceSnapshot(Map.of(), 0);
    private static final char SEPARATOR = 0;

    private final Map<String, Instance> instances;
    private final long digest;

    private InstanceSnapshot(Map<String, Instance> instances, long digest) {
        this.instances = instances;
        this.digest = digest;
    }

    /**
     * The result of a poll; of two records with the same id the newer one counts. A record without a start time takes
     * that of the same record in {@code known}, whose source observed the restart.
     */
    public static InstanceSnapshot of(Collection<Instance> polled, InstanceSnapshot known) {
        Map<String, Instance> all = new LinkedHashMap<>();
        for (Instance i : polled) {
            all.merge(i.id(), i, (a, b) -> b.changedAtMs() >= a.changedAtMs() ? b : a);
        }
        all.replaceAll((id, i) -> {
            Instance before = known.instances.get(id);
            return before != null && i.startedAtMs() == 0 && before.startedAtMs() > 0
                    && before.changedAtMs() == i.changedAtMs()
                    ? new Instance(id, i.address(), i.status(), i.zone(), i.weight(), before.startedAtMs(),
                            i.changedAtMs())
                    : i;
        });
        // Records that did not change are not hashed again; most of a poll's result is unchanged.
        return new InstanceSnapshot(all, known.digestWith(new InstanceSnapshot(all, 0).changesSince(known)));
    }

    private long digestWith(Collection<InstanceChange> changes) {
        long next = digest;
        for (InstanceChange c : changes) {
            Instance before = instances.get(c.id());
            next -= before == null ? 0 : hash(before);
            next += c instanceof InstanceChange.Put p ? hash(p.instance()) : 0;
        }
        return next;
    }

    /** This snapshot with changes applied. */
    public InstanceSnapshot withChanges(Collection<InstanceChange> changes) {
        Map<String, Instance> all = new LinkedHashMap<>(instances);
        Map<String, InstanceChange> last = new LinkedHashMap<>();
        for (InstanceChange c : changes) {
            last.put(c.id(), c);
            if (c instanceof InstanceChange.Put p) {
                all.put(p.id(), p.instance());
            } else {
                all.remove(c.id());
            }
        }
        return new InstanceSnapshot(all, digestWith(last.values()));
    }

    /** Whether any of the changed records is older here than in another snapshot. */
    boolean hasOlderRecordThan(InstanceSnapshot other, Collection<InstanceChange> changed) {
        return changed.stream().anyMatch(c -> instances.containsKey(c.id()) && other.instances.containsKey(c.id())
                && instances.get(c.id()).changedAtMs() < other.instances.get(c.id()).changedAtMs());
    }

    /** The changes that lead from {@code before} to this snapshot, ordered by id. */
    public List<InstanceChange> changesSince(InstanceSnapshot before) {
        Map<String, InstanceChange> changes = new TreeMap<>();
        instances.forEach((id, i) -> {
            if (!i.equals(before.instances.get(id))) {
                changes.put(id, new InstanceChange.Put(i));
            }
        });
        before.instances.keySet().stream().filter(id -> !instances.containsKey(id))
                .forEach(id -> changes.put(id, new InstanceChange.Removed(id)));
        return new ArrayList<>(changes.values());
    }

    public List<Instance> instances() {
        return List.copyOf(instances.values());
    }

    /** Snapshots with the same digest have the same instances. */
    public long digest() {
        return digest;
    }

    /** The number of instances. */
    public int size() {
        return instances.size();
    }

    private static long hash(Instance i) {
        String text = i.id() + SEPARATOR + i.address() + SEPARATOR + i.status() + SEPARATOR + i.zone() + SEPARATOR
                + i.weight() + SEPARATOR + i.changedAtMs();
        try {
            return ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8)))
                    .getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform must support SHA-256", e);
        }
    }
}
