package ridgemill.cdn.agreement;

import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import ridgemill.cdn.config.Checksum;
import ridgemill.cdn.config.Item;
import ridgemill.cdn.config.ItemName;
import ridgemill.cdn.config.PastVersion;
import ridgemill.cdn.config.VersionedItem;
import ridgemill.cdn.quorum.Voter;
import ridgemill.cdn.quorum.VoterSet;

/** A whole state: the items of the configuration and the voters. */
public final class ControlState {

    private static final int ITEM_OVERHEAD = 40;

    private final TreeMap<ItemName, VersionedItem> items = new TreeMap<>();
    private Stamp stamp;
    private VoterSet voters;
    private long characters;

    /** The state before any. */
    public ControlState() {
        this(Stamp.NONE, VoterSet.UNKNOWN, List.of());
    }

    /** A state from its parts. */
    public ControlState(Stamp stamp, VoterSet voters, Collection<VersionedItem> items) {
        this.stamp = stamp;
        this.voters = voters;
        items.forEach(this::put);
    }

    /** Names this state. */
    public Stamp stamp() {
        return stamp;
    }

    /** The voters in this state. */
    public VoterSet voters() {
        return voters;
    }

    /** An item with its history; null if it was never set. */
    public VersionedItem get(ItemName name) {
        return items.get(name);
    }

    /** All items in the order of their names, dropped ones included. */
    public Collection<VersionedItem> items() {
        return items.values();
    }

    /** How many characters all items have. */
    public long characters() {
        return characters;
    }

    /** Goes one step further. The step must start from this state. */
    public void apply(Step step) {
        if (!step.base().equals(stamp)) {
            throw new IllegalArgumentException("a step from " + step.base() + " does not fit " + stamp);
        }
        step.items().forEach(this::put);
        stamp = step.stamp();
        voters = step.voters();
    }

    private void put(VersionedItem entry) {
        VersionedItem before = items.put(entry.item().name(), entry);
        characters += charactersOf(entry) - (before == null ? 0 : charactersOf(before));
    }

    /** A copy that changes independently. */
    public ControlState copy() {
        return new ControlState(stamp, voters, items.values());
    }

    /** A checksum over all that the state holds but its stamp, by which a transfer is checked. */
    public long digest() {
        long hash = voters.epoch();
        for (Voter voter : voters.members()) {
            hash = Checksum.mix(hash, voter.toString().hashCode());
        }
        for (VersionedItem entry : items.values()) {
            Item item = entry.item();
            hash = Checksum.mix(hash, item.name().kind().ordinal());
            hash = Checksum.mix(hash, item.name().name().hashCode());
            hash = Checksum.mix(hash, item.version());
            hash = Checksum.mix(hash, item.contentDigest());
            for (PastVersion past : entry.past()) {
                hash = Checksum.mix(Checksum.mix(hash, past.version()), past.contentDigest());
            }
        }
        return hash;
    }

    /** How many characters an item takes in a message, roughly. */
    static long charactersOf(VersionedItem entry) {
        Item item = entry.item();
        int content = item.isDrop() ? 0 : item.content().length();
        return ITEM_OVERHEAD + item.name().name().length() + content;
    }
}
