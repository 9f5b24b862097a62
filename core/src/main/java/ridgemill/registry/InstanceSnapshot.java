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
 * The instances that a registry has in one application, and a digest by which two proxies know that they have the same: the sum of
 * 64 bits of SHA-256 of each record, so that it does not depend on their order and a change costs no more than what changed. When an
 * instance started is not in it, as each proxy can tell that only of restarts that it has seen. Immutable.
 */
public final class InstanceSnapshot {

    /** Nothing. */
    public static final InstanceSnapshot EMPTY = new InstanceSnapshot(Map.of(), 0);
    private static final char SEPARATOR = 0;

    private final Map<String, Instance> instances;
    private final long digest;

    private InstanceSnapshot(Map<String, Instance> instances, long digest) {
        this.instances = instances;
        this.digest = digest;
    }

    /**
     * What a poll has found; of two records with one id the newer counts. One that tells no start keeps what {@code known} tells of
     * the same record: whoever told that had seen its restart.
     */
    public static InstanceSnapshot of(Collection<Instance> found, InstanceSnapshot known) {
        Map<String, Instance> all = new LinkedHashMap<>();
        for (Instance i : found) {
            all.merge(i.id(), i, (a, b) -> b.changedAtMs() >= a.changedAtMs() ? b : a);
        }
        all.replaceAll((id, i) -> {
            Instance before = known.instances.get(id);
            return before != null && i.startedAtMs() == 0 && before.startedAtMs() > 0 && before.changedAtMs() == i.changedAtMs()
                    ? new Instance(id, i.address(), i.status(), i.zone(), i.weight(), before.startedAtMs(), i.changedAtMs()) : i;
        });
        // What is as it was known is not hashed again: most of a poll's answer is.
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

    /** This with changes made to it. */
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

    /** Whether, of what was changed, it has an older record than another has. */
    boolean hasOlderRecordThan(InstanceSnapshot than, Collection<InstanceChange> changed) {
        return changed.stream().anyMatch(c -> instances.containsKey(c.id()) && than.instances.containsKey(c.id())
                && instances.get(c.id()).changedAtMs() < than.instances.get(c.id()).changedAtMs());
    }

    /** What makes this of {@code before}, by id. */
    public List<InstanceChange> changesSince(InstanceSnapshot before) {
        Map<String, InstanceChange> changes = new TreeMap<>();
        instances.forEach((id, i) -> {
            if (!i.equals(before.instances.get(id))) {
                changes.put(id, new InstanceChange.Put(i));
            }
        });
        before.instances.keySet().stream().filter(id -> !instances.containsKey(id)).forEach(id -> changes.put(id, new InstanceChange.Removed(id)));
        return new ArrayList<>(changes.values());
    }

    public List<Instance> instances() {
        return List.copyOf(instances.values());
    }

    /** Two with the same have the same instances. */
    public long digest() {
        return digest;
    }

    /** How many instances there are. */
    public int size() {
        return instances.size();
    }

    private static long hash(Instance i) {
        String text = i.id() + SEPARATOR + i.address() + SEPARATOR + i.status() + SEPARATOR + i.zone() + SEPARATOR
                + i.weight() + SEPARATOR + i.changedAtMs();
        try {
            return ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8))).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java machine has SHA-256", e);
        }
    }
}
