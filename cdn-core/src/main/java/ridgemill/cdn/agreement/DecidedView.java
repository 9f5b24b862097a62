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
    private static final int KEPT_STEPS = 256;

    private static final long KEPT_CHARACTERS = 1 << 20;

    private final AgreementEnvironment environment;
    private final ItemSet items = new ItemSet();
    /** The newest decided steps in their order; the first one may be a whole state, whose base is {@link Stamp#NONE}. */
    private final Deque<Step> settled = new ArrayDeque<>();
    /** The accepted steps behind them that are not known to be decided. */
    private final Deque<Step> open = new ArrayDeque<>();

    private VoterSet voters = VoterSet.UNKNOWN;
    private Stamp decided = Stamp.NONE;
    /** The newest decided state that was heard of, which this store may not hold yet. */
    private Stamp heard = Stamp.NONE;

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
    Stamp decided() {
        return decided;
    }

    /** The newest state that is known to be decided, held or not. */
    Stamp heard() {
        return heard;
    }

    /** A whole state was accepted. */
    void installed(ControlState state) {
        settled.clear();
        open.clear();
        keptCharacters = 0;
        accepted(new Step(Stamp.NONE, state.stamp(), state.voters(), List.copyOf(state.items())));
    }

    /** A step was accepted. */
    void accepted(Step step) {
        open.add(step);
        keptCharacters += step.characters();
        while (!settled.isEmpty() && isOverfull()) {
            keptCharacters -= settled.poll().characters();
        }
    }

    private boolean isOverfull() {
        return settled.size() + open.size() > KEPT_STEPS || keptCharacters > KEPT_CHARACTERS;
    }

    /** A state is decided; all that it was made from is so too. */
    void decide(Stamp stamp) {
        heard = Stamp.max(heard, stamp);
        if (stamp.compareTo(decided) > 0) {
            publish(settledBy(stamp));
        }
    }

    /** How many of the open steps a decided state settles. */
    private int settledBy(Stamp stamp) {
        int settles = 0;
        int position = 0;
        for (Step step : open) {
            position++;
            if (step.stamp().leadsTo(stamp)) {
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
            Step step = open.poll();
            settled.add(step);
            for (VersionedItem entry : step.items()) {
                if (items.merge(entry.item())) {
                    changed.add(entry.item());
                }
            }
            voters = step.voters();
            decided = step.stamp();
        }
        environment.decided(changed, voters);
    }

    /** The steps that lead from a state to the newest accepted one; null if they are not kept. */
    List<Step> stepsFrom(Stamp base) {
        if (base.equals(Stamp.NONE)) {
            return null;
        }
        List<Step> missing = Stream.concat(settled.stream(), open.stream())
                .dropWhile(step -> !step.base().equals(base))
                .toList();
        return missing.isEmpty() ? null : missing;
    }
}
