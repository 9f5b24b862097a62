package ridgemill.cdn.agreement;

import java.util.List;
import ridgemill.cdn.config.VersionedItem;
import ridgemill.cdn.quorum.VoterSet;

/**
 * What one store has promised and accepted. Answers are given once what they say is on disk: what is in memory may be
 * ahead of the disk, what was said never is.
 */
final class Acceptor {

    /** What became of a proposed step. */
    enum Outcome {
        /** It is accepted now, or was before. */
        ACCEPTED,
        /** A higher ballot was promised. */
        REFUSED,
        /** This store does not hold the state that the step starts from. */
        BEHIND
    }

    private final AgreementEnvironment environment;
    private ControlState state = new ControlState();
    private Ballot promised = Ballot.NONE;
    private StateId durable = StateId.NONE;

    Acceptor(AgreementEnvironment environment) {
        this.environment = environment;
    }

    /** Takes over what the disk holds. */
    void restore(AcceptorRecord record) {
        state = new ControlState(record.accepted(), record.voters(), record.items());
        promised = record.promised();
        durable = record.accepted();
    }

    /** All that was promised and accepted, as far as it is in memory. */
    AcceptorRecord record() {
        return new AcceptorRecord(promised, state.id(), state.voters(), List.copyOf(state.items()), true);
    }

    /** The newest accepted state. Only this class changes it. */
    ControlState state() {
        return state;
    }

    Ballot promised() {
        return promised;
    }

    /** The newest accepted state that is on disk. */
    StateId durable() {
        return durable;
    }

    /** Promises to accept nothing of a lower ballot. Returns false if a higher one was promised. */
    boolean promise(Ballot ballot, Runnable whenDurable) {
        if (ballot.compareTo(promised) < 0) {
            return false;
        }
        promised = ballot;
        persist(List.of(), false, whenDurable);
        return true;
    }

    /** Accepts a proposed step if its ballot is the highest and it fits. */
    Outcome accept(StateDelta step, Runnable whenDurable) {
        StateId stamp = step.stateId();
        if (!isPermitted(stamp)) {
            return Outcome.REFUSED;
        }
        promised = stamp.ballot();
        if (stamp.isAtOrBefore(state.id())) {
            persist(List.of(), false, whenDurable);
            return Outcome.ACCEPTED;
        }
        if (!step.base().equals(state.id())) {
            return Outcome.BEHIND;
        }
        state.apply(step);
        persist(step.items(), false, whenDurable);
        return Outcome.ACCEPTED;
    }

    /**
     * Takes over a whole state: a decided one, or one whose ballot is the highest. Returns false if neither holds, or if
     * what is held is as new.
     */
    boolean install(ControlState whole, boolean decided, Runnable whenDurable) {
        if (!isPermitted(whole.id()) && !decided || whole.id().compareTo(state.id()) <= 0) {
            return false;
        }
        state = whole;
        promised = Ballot.max(promised, whole.id().ballot());
        persist(List.copyOf(whole.items()), true, whenDurable);
        return true;
    }

    /** Goes a step further that was learned from another store, under the same conditions as {@link #install}. */
    boolean applyDelta(StateDelta step, boolean decided, Runnable whenDurable) {
        if (!isPermitted(step.stateId()) && !decided || !step.base().equals(state.id())) {
            return false;
        }
        state.apply(step);
        promised = Ballot.max(promised, step.stateId().ballot());
        persist(step.items(), false, whenDurable);
        return true;
    }

    /** Whether no higher ballot than a state's own was promised. */
    private boolean isPermitted(StateId stamp) {
        return stamp.ballot().compareTo(promised) >= 0;
    }

    /** Begins with the first voters, before anything was decided. */
    void bootstrap(StateId stamp, VoterSet voters, Runnable whenDurable) {
        state = new ControlState(stamp, voters, List.of());
        persist(List.of(), true, whenDurable);
    }

    private void persist(List<VersionedItem> items, boolean replaces, Runnable whenDurable) {
        StateId accepted = state.id();
        environment.persist(new AcceptorRecord(promised, accepted, state.voters(), items, replaces), () -> {
            durable = accepted;
            whenDurable.run();
        });
    }
}
