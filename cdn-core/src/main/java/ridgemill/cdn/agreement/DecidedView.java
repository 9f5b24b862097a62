package ridgemill.cdn.agreement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
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
    /** The accepted steps in their order; the first one may be a whole state, whose base is {@link Stamp#NONE}. */
    private final Deque<Step> steps = new ArrayDeque<>();

    private VoterSet voters = VoterSet.UNKNOWN;
    private Stamp decided = Stamp.NONE;
    /** The newest decided state that was heard of, which this store may not hold yet. */
    private Stamp heard = Stamp.NONE;

    private long keptCharacters;
    private int undecided;

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
        steps.clear();
        keptCharacters = 0;
        undecided = 0;
        add(new Step(Stamp.NONE, state.stamp(), state.voters(), List.copyOf(state.items())));
    }

    /** A step was accepted. */
    void accepted(Step step) {
        add(step);
    }

    private void add(Step step) {
        steps.add(step);
        undecided++;
        keptCharacters += step.characters();
        while (steps.size() > undecided && (steps.size() > KEPT_STEPS || keptCharacters > KEPT_CHARACTERS)) {
            keptCharacters -= steps.poll().characters();
        }
    }

    /** A state is decided; all that it was made from is so too. */
    void decide(Stamp stamp) {
        heard = Stamp.max(heard, stamp);
        if (undecided == 0 || stamp.compareTo(decided) <= 0) {
            return;
        }
        int settled = settledBy(stamp);
        if (settled > 0) {
            publish(settled);
        }
    }

    /** How many of the undecided steps a decided state settles. */
    private int settledBy(Stamp stamp) {
        int settled = 0;
        int position = 0;
        for (Step step : undecidedSteps()) {
            position++;
            if (step.stamp().leadsTo(stamp)) {
                settled = position;
            }
        }
        return settled;
    }

    private Collection<Step> undecidedSteps() {
        List<Step> all = new ArrayList<>(steps);
        return all.subList(all.size() - undecided, all.size());
    }

    private void publish(int settled) {
        List<Item> changed = new ArrayList<>();
        Iterator<Step> newest = undecidedSteps().iterator();
        for (int i = 0; i < settled; i++) {
            Step step = newest.next();
            for (VersionedItem entry : step.items()) {
                if (items.merge(entry.item())) {
                    changed.add(entry.item());
                }
            }
            voters = step.voters();
            decided = step.stamp();
        }
        undecided -= settled;
        environment.decided(changed, voters);
    }

    /** The steps that lead from a state to the newest accepted one; null if they are not kept. */
    List<Step> stepsFrom(Stamp base) {
        List<Step> missing = new ArrayList<>();
        boolean found = false;
        for (Step step : steps) {
            found |= step.base().equals(base) && !base.equals(Stamp.NONE);
            if (found) {
                missing.add(step);
            }
        }
        return found ? missing : null;
    }
}
