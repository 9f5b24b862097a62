package ridgemill.cdn.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The newest version of an item and the content digests that were confirmed under lower versions, so that no other
 * content is ever confirmed under a version that was used.
 *
 * @param item the newest version
 * @param past the lower versions that were confirmed, in ascending order; only the highest {@value #MAX_PAST_VERSIONS}
 *     are kept
 */
public record VersionedItem(Item item, List<PastVersion> past) {

    /** The maximum number of lower versions of an item that are kept. */
    public static final int MAX_PAST_VERSIONS = 16;

    public VersionedItem {
        past = List.copyOf(past);
    }

    /** An item without past versions. */
    public static VersionedItem first(Item item) {
        return new VersionedItem(item, List.of());
    }

    /** This item after a newer version has replaced it. */
    public VersionedItem supersededBy(Item newer) {
        return new VersionedItem(newer, withPast(new PastVersion(item.version(), item.contentDigest())));
    }

    /** This item after a lower version was confirmed, which does not change the item itself. */
    public VersionedItem withConfirmed(Item lower) {
        return new VersionedItem(item, withPast(new PastVersion(lower.version(), lower.contentDigest())));
    }

    private List<PastVersion> withPast(PastVersion added) {
        List<PastVersion> all = new ArrayList<>(past);
        all.add(added);
        all.sort(Comparator.comparingLong(PastVersion::version));
        return all.size() <= MAX_PAST_VERSIONS ? all : all.subList(all.size() - MAX_PAST_VERSIONS, all.size());
    }

    /** Whether other content was confirmed under the same version. */
    public boolean conflictsWith(Item other) {
        if (other.version() == item.version()) {
            return other.contentDigest() != item.contentDigest();
        }
        for (PastVersion recorded : past) {
            if (recorded.version() == other.version()) {
                return recorded.contentDigest() != other.contentDigest();
            }
        }
        return false;
    }

    /** Whether a version can be confirmed without recording it: it is the newest, recorded, or too low to be kept. */
    public boolean hasRecorded(Item other) {
        if (other.version() == item.version()) {
            return true;
        }
        boolean recorded = past.stream().anyMatch(version -> version.version() == other.version());
        return recorded
                || past.size() >= MAX_PAST_VERSIONS
                        && other.version() < past.get(0).version();
    }
}
