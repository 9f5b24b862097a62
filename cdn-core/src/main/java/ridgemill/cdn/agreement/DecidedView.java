package ridgemill.cdn.agreement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.stream.Stream;
import ridgemill.cdn.config.Item;
import ridgemill.cdn.config.ItemSet;
import ridgemill.cdn.config.VersionedItem;
import ridgemill.cdn.quorum.VoterSet;

/**
 * The part of the accepted states that is known to be decided. Only decided states are published outside the stores.
 * The newest deltas are kept, so that stores that are behind can be sent the missing ones.
 */
final class DecidedView {

    /** The most deltas that are kept for stores that are behind. */
    private static final int MAX_KEPT_DELTAS = 256;
    /** The most characters in the kept deltas. */
    private static final long MAX_KEPT_CHARACTERS = 1 << 20;

    private final AgreementEnvironment environment;
    private final ItemSet items = new ItemSet();
    /** The newest decided deltas in order; the first one may be a whole state, whose base is {@link StateId#NONE}. */
    private final Deque<StateDelta> decidedDeltas = new ArrayDeque<>();
    /** The accepted deltas after them, which are not known to be decided. */
    private final Deque<StateDelta> undecidedDeltas = new ArrayDeque<>();

    private VoterSet voters = VoterSet.UNKNOWN;
    private StateId decided = StateId.NONE;
    /** The newest state that any store reported as decided; this store may not hold it yet. */
    private StateId newestKnownDecided = StateId.NONE;

    private long keptCharacters;

    DecidedView(AgreementEnvironment environment) {
        this.environment = environment;
    }

    /** All decided items. */
    ItemSet items() {
        return items;
    }

    /** The decided voters; {@link VoterSet#UNKNOWN} while nothing is known to be decided. */
    VoterSet voters() {
        return voters;
    }

    /** The newest state that is known to be decided and is held here. */
    StateId decided() {
        return decided;
    }

    /** The newest state that is known to be decided, whether or not it is held here. */
    StateId newestKnownDecided() {
        return newestKnownDecided;
    }

    /** Starts over with a whole state that was accepted. */
    void reset(ControlState state) {
        decidedDeltas.clear();
        undecidedDeltas.clear();
        keptCharacters = 0;
        addAccepted(new StateDelta(StateId.NONE, state.id(), state.voters(), List.copyOf(state.items())));
    }

    /** Adds an accepted delta, and discards the oldest decided deltas beyond the limits. */
    void addAccepted(StateDelta delta) {
        undecidedDeltas.add(delta);
        keptCharacters += delta.characters();
        while (!decidedDeltas.isEmpty() && exceedsLimits()) {
            keptCharacters -= decidedDeltas.poll().characters();
        }
    }

    private boolean exceedsLimits() {
        return decidedDeltas.size() + undecidedDeltas.size() > MAX_KEPT_DELTAS || keptCharacters > MAX_KEPT_CHARACTERS;
    }

    /** Records that a state is decided, and with it all states that it was derived from. */
    void decide(StateId stateId) {
        newestKnownDecided = StateId.max(newestKnownDecided, stateId);
        if (stateId.compareTo(decided) > 0) {
            publish(countDecidedBy(stateId));
        }
    }

    /** The number of undecided deltas that a decided state makes decided. */
    private int countDecidedBy(StateId stateId) {
        int decidedCount = 0;
        int position = 0;
        for (StateDelta delta : undecidedDeltas) {
            position++;
            if (delta.stateId().isAtOrBefore(stateId)) {
                decidedCount = position;
            }
        }
        return decidedCount;
    }

    private void publish(int count) {
        if (count == 0) {
            return;
        }
        List<Item> changed = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            StateDelta delta = undecidedDeltas.poll();
            decidedDeltas.add(delta);
            for (VersionedItem entry : delta.items()) {
                if (items.merge(entry.item())) {
                    changed.add(entry.item());
                }
            }
            voters = delta.voters();
            decided = delta.stateId();
        }
        environment.onDecided(changed, voters);
    }

    /** The deltas that lead from a state to the newest accepted one; null if they are not kept. */
    List<StateDelta> deltasFrom(StateId base) {
        if (base.equals(StateId.NONE)) {
            return null;
        }
        List<StateDelta> deltas = Stream.concat(decidedDeltas.stream(), undecidedDeltas.stream())
                .dropWhile(delta -> !delta.base().equals(base))
                .toList();
        return deltas.isEmpty() ? null : deltas;
    }
}
