package ridgemill.cdn.agreement;

import java.util.Comparator;

/**
 * Identifies a state: under one ballot, at most one state is proposed for each revision.
 *
 * @param ballot the ballot under which the state was proposed
 * @param revision how many states came before it; 0 for the first
 */
public record StateId(Ballot ballot, long revision) implements Comparable<StateId> {

    /** Lower than the identifiers of all states: no state. */
    public static final StateId NONE = new StateId(Ballot.NONE, -1);

    private static final Comparator<StateId> ORDER =
            Comparator.comparing(StateId::ballot).thenComparingLong(StateId::revision);

    @Override
    public int compareTo(StateId other) {
        return ORDER.compare(this, other);
    }

    /** The identifier of the next state, proposed under the given ballot. */
    public StateId next(Ballot under) {
        return new StateId(under, revision + 1);
    }

    /** The later of two identifiers. */
    public static StateId max(StateId one, StateId other) {
        return one.compareTo(other) >= 0 ? one : other;
    }

    /** Whether this state is the other one or precedes it under the same ballot. */
    public boolean isAtOrBefore(StateId other) {
        return ballot.equals(other.ballot) && revision <= other.revision;
    }
}
