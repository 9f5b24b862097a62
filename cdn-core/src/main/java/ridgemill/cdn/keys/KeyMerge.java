package ridgemill.cdn.keys;

import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.Set;
import java.util.TreeSet;

/**
 * Collects what several voters know of one key and says what a recovering voter shall hold. What is collected only
 * grows, so the outcome depends neither on the order of the records nor on repeats, and collected sets may be combined
 * in any grouping.
 *
 * <p>A finished operation wins over all else. A claim that one voter saw given back is not held. Of the claims that are
 * still held, a single one is held by the outcome as well, and several make a conflict, because one of them may have
 * been granted by a majority that counted the recovering voter.
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

    /** Collects for one key. */
    public KeyMerge(String key) {
        this.key = key;
    }

    /** What the records, all of one key and at least one, come to. */
    public static KeyRecord of(Collection<KeyRecord> records) {
        KeyMerge merge = new KeyMerge(records.iterator().next().key());
        records.forEach(merge::add);
        return merge.result();
    }

    /** Adds what one voter knows. */
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

    /** Adds all that another merge of the same key has collected. */
    public void addAll(KeyMerge other) {
        held.addAll(other.held);
        released.addAll(other.released);
        conflict |= other.conflict;
        updatedAtMs = Math.max(updatedAtMs, other.updatedAtMs);
        if (other.finished != null) {
            add(other.finished);
        }
    }

    /** What the records collected so far, at least one, come to; as new as the newest of them. */
    public KeyRecord result() {
        if (finished != null) {
            return new KeyRecord(key, KeyState.FINISHED, finished.claimId(), finished.answer(), updatedAtMs);
        }
        Set<String> standing = new TreeSet<>(held);
        standing.removeAll(released);
        if (conflict || standing.size() > 1) {
            return new KeyRecord(key, KeyState.CONFLICT, "", null, updatedAtMs);
        }
        if (standing.size() == 1) {
            return new KeyRecord(key, KeyState.HELD, standing.iterator().next(), null, updatedAtMs);
        }
        return new KeyRecord(key, KeyState.RELEASED, released.iterator().next(), null, updatedAtMs);
    }
}
