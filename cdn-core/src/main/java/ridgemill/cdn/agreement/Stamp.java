package ridgemill.cdn.agreement;

import java.util.Comparator;

/**
 * Names one state: under one ballot, one state at most is proposed as each revision.
 *
 * @param ballot the ballot under which the state was proposed
 * @param revision how many states came before it; 0 for the first
 */
public record Stamp(Ballot ballot, long revision) implements Comparable<Stamp> {

    /** Lower than all stamps: no state. */
    public static final Stamp NONE = new Stamp(Ballot.NONE, -1);

    private static final Comparator<Stamp> ORDER =
            Comparator.comparing(Stamp::ballot).thenComparingLong(Stamp::revision);

    @Override
    public int compareTo(Stamp other) {
        return ORDER.compare(this, other);
    }

    /** The stamp of the state that a ballot makes out of this one. */
    public Stamp next(Ballot under) {
        return new Stamp(under, revision + 1);
    }

    /** The later one of two. */
    public static Stamp max(Stamp one, Stamp other) {
        return one.compareTo(other) >= 0 ? one : other;
    }

    /** Whether a state with this stamp is the other one or came before it under the same ballot. */
    public boolean leadsTo(Stamp other) {
        return ballot.equals(other.ballot) && revision <= other.revision;
    }
}
