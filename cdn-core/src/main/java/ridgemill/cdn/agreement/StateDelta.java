package ridgemill.cdn.agreement;

import java.util.List;
import ridgemill.cdn.config.VersionedItem;
import ridgemill.cdn.quorum.VoterSet;

/**
 * The difference between a state and the one before it.
 *
 * @param base the state before
 * @param stateId the state after
 * @param voters the voters after
 * @param items the items that changed
 */
public record StateDelta(StateId base, StateId stateId, VoterSet voters, List<VersionedItem> items) {

    public StateDelta {
        items = List.copyOf(items);
    }

    /** The estimated size of the changed items, in characters, by which the size of messages is bounded. */
    public long characters() {
        return items.stream().mapToLong(ControlState::charactersOf).sum();
    }
}
