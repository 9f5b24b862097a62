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
 * What of the accepted states is known to be decided. Only this is ever told to anybody outside the stores. The newest
 * steps are kept, so that others can be told what they lack.
 */
final class DecidedView {

    /** How many steps, and characters in them, are kept for stores that are behind. */
    private static final int MAX_KEPT_DELTAS = 256;

    private static final long MAX_KEPT_CHARACTERS = 1 << 20;

    private final AgreementEnvironment environment;
    private final ItemSet items = new ItemSet();
    /** The newest decided steps in their order; the first one may be a whole state, whose base is {@link StateId#NONE}. */
    private final Deque<StateDelta> decidedDeltas = new ArrayDeque<>();
    /** The accepted steps behind them that are not known to be decided. */
    private final Deque<StateDelta> undecidedDeltas = new ArrayDeque<>();

    private VoterSet voters = VoterSet.UNKNOWN;
    private StateId decided = StateId.NONE;
    /** The newest decided state that was heard of, which this store may not hold yet. */
    private StateId newestKnownDecided = StateId.NONE;

    private long keptCharacters;

    DecidedView(AgreementEnvironment environment) {
        this.environment = environment;
    }

    /** All decided items. */
    ItemSet items() {
        return items;
    }

    /** The decided voters; unknown while nothing is known to be decided. */
    VoterSet voters() {
        return voters;
    }

    /** The newest state that is known to be decided and is held. */
    StateId decided() {
        return decided;
    }

    /** The newest state that is known to be decided, held or not. */
    StateId newestKnownDecided() {
        return newestKnownDecided;
    }

    /** A whole state was accepted. */
    void reset(ControlState state) {
        decidedDeltas.clear();
        undecidedDeltas.clear();
        keptCharacters = 0;
        addAccepted(new StateDelta(StateId.NONE, state.id(), state.voters(), List.copyOf(state.items())));
    }

    /** A step was accepted. */
    void addAccepted(StateDelta step) {
        undecidedDeltas.add(step);
        keptCharacters += step.characters();
        while (!decidedDeltas.isEmpty() && exceedsLimits()) {
            keptCharacters -= decidedDeltas.poll().characters();
        }
    }

    private boolean exceedsLimits() {
        return decidedDeltas.size() + undecidedDeltas.size() > MAX_KEPT_DELTAS || keptCharacters > MAX_KEPT_CHARACTERS;
    }

    /** A state is decided; all that it was made from is so too. */
    void decide(StateId stamp) {
        newestKnownDecided = StateId.max(newestKnownDecided, stamp);
        if (stamp.compareTo(decided) > 0) {
            publish(countDecidedBy(stamp));
        }
    }

    /** How many of the open steps a decided state settles. */
    private int countDecidedBy(StateId stamp) {
        int settles = 0;
        int position = 0;
        for (StateDelta step : undecidedDeltas) {
            position++;
            if (step.stateId().isAtOrBefore(stamp)) {
                settles = position;
            }
        }
        return settles;
    }

    private void publish(int count) {
        if (count == 0) {
            return;
        }
        List<Item> changed = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            StateDelta step = undecidedDeltas.poll();
            decidedDeltas.add(step);
            for (VersionedItem entry : step.items()) {
                if (items.merge(entry.item())) {
                    changed.add(entry.item());
                }
            }
            voters = step.voters();
            decided = step.stateId();
        }
        environment.onDecided(changed, voters);
    }

    /** The steps that lead from a state to the newest accepted one; null if they are not kept. */
    List<StateDelta> deltasFrom(StateId base) {
        if (base.equals(StateId.NONE)) {
            return null;
        }
        List<StateDelta> missing = Stream.concat(decidedDeltas.stream(), undecidedDeltas.stream())
                .dropWhile(step -> !step.base().equals(base))
                .toList();
        return missing.isEmpty() ? null : missing;
    }
}
