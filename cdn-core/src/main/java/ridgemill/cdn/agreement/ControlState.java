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

/** The replicated control state: the items of the configuration and the voters. */
public final class ControlState {

    /** The size of an item in a message besides its name and content, in characters, as an estimate. */
    private static final int ITEM_OVERHEAD_CHARACTERS = 40;

    private final TreeMap<ItemName, VersionedItem> items = new TreeMap<>();
    private StateId id;
    private VoterSet voters;
    private long characters;

    /** The empty state, before anything was accepted. */
    public ControlState() {
        this(StateId.NONE, VoterSet.UNKNOWN, List.of());
    }

    /** A state with the given items and voters. */
    public ControlState(StateId id, VoterSet voters, Collection<VersionedItem> items) {
        this.id = id;
        this.voters = voters;
        items.forEach(this::put);
    }

    /** Identifies this state. */
    public StateId id() {
        return id;
    }

    /** The voters in this state. */
    public VoterSet voters() {
        return voters;
    }

    /** An item with its history; null if it was never set. */
    public VersionedItem get(ItemName name) {
        return items.get(name);
    }

    /** All items in the order of their names, tombstones included. */
    public Collection<VersionedItem> items() {
        return items.values();
    }

    /** The estimated size of all items in a message, in characters. */
    public long characters() {
        return characters;
    }

    /**
     * Applies a delta.
     *
     * @throws IllegalArgumentException if the delta does not start from this state
     */
    public void apply(StateDelta delta) {
        if (!delta.base().equals(id)) {
            throw new IllegalArgumentException("cannot apply a delta based on " + delta.base() + " to state " + id);
        }
        delta.items().forEach(this::put);
        id = delta.stateId();
        voters = delta.voters();
    }

    private void put(VersionedItem entry) {
        VersionedItem previous = items.put(entry.item().name(), entry);
        characters += charactersOf(entry) - (previous == null ? 0 : charactersOf(previous));
    }

    /** An independent copy. */
    public ControlState copy() {
        return new ControlState(id, voters, items.values());
    }

    /** A checksum over the state without its identifier, which verifies a transfer. */
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

    /** The estimated size of an item in a message, in characters. */
    static long charactersOf(VersionedItem entry) {
        Item item = entry.item();
        int content = item.isTombstone() ? 0 : item.content().length();
        return ITEM_OVERHEAD_CHARACTERS + item.name().name().length() + content;
    }
}
