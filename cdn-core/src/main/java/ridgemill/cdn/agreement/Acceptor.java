package ridgemill.cdn.agreement;

import java.util.List;
import ridgemill.cdn.config.VersionedItem;
import ridgemill.cdn.quorum.VoterSet;

/**
 * The acceptor of one store: the ballot that it promised and the newest state that it accepted. A reply is sent only
 * after the state that it reports is on disk. The state in memory may be ahead of the disk; a sent reply never is.
 */
final class Acceptor {

    /** The result of a proposal. */
    enum Outcome {
        /** The delta is accepted now or was accepted before. */
        ACCEPTED,
        /** A higher ballot has been promised. */
        REFUSED,
        /** This store does not hold the state that the delta starts from. */
        BEHIND
    }

    private final AgreementEnvironment environment;
    private ControlState state = new ControlState();
    private Ballot promised = Ballot.NONE;
    private StateId durable = StateId.NONE;

    Acceptor(AgreementEnvironment environment) {
        this.environment = environment;
    }

    /** Restores the promise and the state that were read from the disk. */
    void restore(AcceptorRecord record) {
        state = new ControlState(record.accepted(), record.voters(), record.items());
        promised = record.promised();
        durable = record.accepted();
    }

    /** The promise and the whole accepted state as held in memory, which may be ahead of the disk. */
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

    /** Promises to accept nothing under a lower ballot. Returns false if a higher ballot has been promised. */
    boolean promise(Ballot ballot, Runnable whenDurable) {
        if (ballot.compareTo(promised) < 0) {
            return false;
        }
        promised = ballot;
        persist(List.of(), false, whenDurable);
        return true;
    }

    /** Accepts a proposed delta if no higher ballot has been promised and the delta starts from the accepted state. */
    Outcome accept(StateDelta delta, Runnable whenDurable) {
        StateId stateId = delta.stateId();
        if (!isPermitted(stateId)) {
            return Outcome.REFUSED;
        }
        promised = stateId.ballot();
        if (stateId.isAtOrBefore(state.id())) {
            persist(List.of(), false, whenDurable);
            return Outcome.ACCEPTED;
        }
        if (!delta.base().equals(state.id())) {
            return Outcome.BEHIND;
        }
        state.apply(delta);
        persist(delta.items(), false, whenDurable);
        return Outcome.ACCEPTED;
    }

    /**
     * Replaces the accepted state by a whole state that is decided, or whose ballot is at least the promised one.
     * Returns false if neither holds or if the accepted state is at least as new.
     */
    boolean install(ControlState snapshot, boolean decided, Runnable whenDurable) {
        if (!isPermitted(snapshot.id()) && !decided || snapshot.id().compareTo(state.id()) <= 0) {
            return false;
        }
        state = snapshot;
        promised = Ballot.max(promised, snapshot.id().ballot());
        persist(List.copyOf(snapshot.items()), true, whenDurable);
        return true;
    }

    /** Applies a delta that was pulled from another store, under the same conditions as {@link #install}. */
    boolean applyDelta(StateDelta delta, boolean decided, Runnable whenDurable) {
        if (!isPermitted(delta.stateId()) && !decided || !delta.base().equals(state.id())) {
            return false;
        }
        state.apply(delta);
        promised = Ballot.max(promised, delta.stateId().ballot());
        persist(delta.items(), false, whenDurable);
        return true;
    }

    /** Whether the promise allows accepting this state: no ballot higher than its own has been promised. */
    private boolean isPermitted(StateId stateId) {
        return stateId.ballot().compareTo(promised) >= 0;
    }

    /** Sets the first voters, before anything has been decided. */
    void bootstrap(StateId stateId, VoterSet voters, Runnable whenDurable) {
        state = new ControlState(stateId, voters, List.of());
        persist(List.of(), true, whenDurable);
    }

    /** Writes the promise and the accepted state with these items, and then advances the durable state. */
    private void persist(List<VersionedItem> items, boolean replaces, Runnable whenDurable) {
        StateId accepted = state.id();
        environment.persist(new AcceptorRecord(promised, accepted, state.voters(), items, replaces), () -> {
            durable = accepted;
            whenDurable.run();
        });
    }
}
