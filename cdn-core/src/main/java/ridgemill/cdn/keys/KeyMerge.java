package ridgemill.cdn.keys;

import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.Set;
import java.util.TreeSet;

/**
 * Merges the records of several voters for one key into the record that a recovering voter has to hold. The collected
 * data only grows, so the result depends neither on the order of the records nor on duplicates, and partial merges may
 * be combined in any grouping.
 *
 * <p>A finished operation takes precedence over all other states. A claim that any voter saw released is not held. If a
 * single claim is still held, the result holds it as well. Several held claims are a conflict, because one of them may
 * have been granted by a majority that included the recovering voter.
 */
public final class KeyMerge {

    private static final Comparator<KeyRecord> FINISHED_ORDER =
            Comparator.comparing(KeyRecord::claimId).thenComparing(KeyRecord::answer, Arrays::compareUnsigned);

    private final String key;
    private final Set<String> held = new TreeSet<>();
    private final Set<String> released = new TreeSet<>();
    private KeyRecord finished;
    private boolean conflict;
    private long updatedAtMs = Long.MIN_VALUE;

    /** An empty merge for one key. */
    public KeyMerge(String key) {
        this.key = key;
    }

    /** Merges at least one record, all of the same key. */
    public static KeyRecord of(Collection<KeyRecord> records) {
        KeyMerge merge = new KeyMerge(records.iterator().next().key());
        records.forEach(merge::add);
        return merge.result();
    }

    /** Adds the record of one voter. */
    public void add(KeyRecord record) {
        updatedAtMs = Math.max(updatedAtMs, record.updatedAtMs());
        switch (record.state()) {
            case HELD -> held.add(record.claimId());
            case RELEASED -> released.add(record.claimId());
            case CONFLICT -> conflict = true;
            case FINISHED ->
                finished = finished == null || FINISHED_ORDER.compare(record, finished) < 0 ? record : finished;
        }
    }

    /** Adds all records that another merge of the same key has collected. */
    public void addAll(KeyMerge other) {
        held.addAll(other.held);
        released.addAll(other.released);
        conflict |= other.conflict;
        updatedAtMs = Math.max(updatedAtMs, other.updatedAtMs);
        if (other.finished != null) {
            add(other.finished);
        }
    }

    /**
     * The result of the records added so far, of which there must be at least one; it has the newest of their times.
     */
    public KeyRecord result() {
        if (finished != null) {
            return new KeyRecord(key, KeyState.FINISHED, finished.claimId(), finished.answer(), updatedAtMs);
        }
        Set<String> stillHeld = new TreeSet<>(held);
        stillHeld.removeAll(released);
        if (conflict || stillHeld.size() > 1) {
            return new KeyRecord(key, KeyState.CONFLICT, "", null, updatedAtMs);
        }
        if (stillHeld.size() == 1) {
            return new KeyRecord(key, KeyState.HELD, stillHeld.iterator().next(), null, updatedAtMs);
        }
        return new KeyRecord(key, KeyState.RELEASED, released.iterator().next(), null, updatedAtMs);
    }
}
