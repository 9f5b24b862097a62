package ridgemill.cdn.agreement;

import java.util.Comparator;

/**
 * Names one state: under one ballot, one state at most is proposed as each revision.
 *
 * @param ballot the ballot under which the state was proposed
 * @param revision how many states came before it; 0 for the first
 */
public record StateId(Ballot ballot, long revision) implements Comparable<StateId> {

    /** Lower than all stamps: no state. */
    public static final StateId NONE = new StateId(Ballot.NONE, -1);

    private static final Comparator<StateId> ORDER =
            Comparator.comparing(StateId::ballot).thenComparingLong(StateId::revision);

    @Override
    public int compareTo(StateId other) {
        return ORDER.compare(this, other);
    }

    /** The stamp of the state that a ballot makes out of this one. */
    public StateId next(Ballot under) {
        return new StateId(under, revision + 1);
    }

    /** The later one of two. */
    public static StateId max(StateId one, StateId other) {
        return one.compareTo(other) >= 0 ? one : other;
    }

    /** Whether a state with this stamp is the other one or came before it under the same ballot. */
    public boolean isAtOrBefore(StateId other) {
        return ballot.equals(other.ballot) && revision <= other.revision;
    }
}
