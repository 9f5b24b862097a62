package ridgemill.cdn.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The newest version of an item and which contents were confirmed under lower ones, so that no other content is ever
 * confirmed under a number that was used.
 *
 * @param item the newest version
 * @param past lower versions that were confirmed, in order, {@value #MAX_PAST_VERSIONS} at most: the highest ones are kept
 */
public record VersionedItem(Item item, List<PastVersion> past) {

    /** How many lower versions of an item are remembered. */
    public static final int MAX_PAST_VERSIONS = 16;

    public VersionedItem {
        past = List.copyOf(past);
    }

    /** An item without a history. */
    public static VersionedItem first(Item item) {
        return new VersionedItem(item, List.of());
    }

    /** This item after a newer version has taken its place. */
    public VersionedItem supersededBy(Item newer) {
        return new VersionedItem(newer, withPast(new PastVersion(item.version(), item.contentDigest())));
    }

    /** This item after a lower version, which changes nothing, was confirmed. */
    public VersionedItem withConfirmed(Item lower) {
        return new VersionedItem(item, withPast(new PastVersion(lower.version(), lower.contentDigest())));
    }

    private List<PastVersion> withPast(PastVersion added) {
        List<PastVersion> all = new ArrayList<>(past);
        all.add(added);
        all.sort(Comparator.comparingLong(PastVersion::version));
        return all.size() <= MAX_PAST_VERSIONS ? all : all.subList(all.size() - MAX_PAST_VERSIONS, all.size());
    }

    /** Whether a version was confirmed with other content. */
    public boolean conflictsWith(Item other) {
        if (other.version() == item.version()) {
            return other.contentDigest() != item.contentDigest();
        }
        for (PastVersion known : past) {
            if (known.version() == other.version()) {
                return known.contentDigest() != other.contentDigest();
            }
        }
        return false;
    }

    /** Whether nothing has to be remembered to confirm a version: it is held, or known, or too low to be remembered. */
    public boolean hasRecorded(Item other) {
        if (other.version() == item.version()) {
            return true;
        }
        boolean known = past.stream().anyMatch(version -> version.version() == other.version());
        return known
                || past.size() >= MAX_PAST_VERSIONS
                        && other.version() < past.get(0).version();
    }
}
