package ridgemill.cdn.agreement;

import java.util.Comparator;

/**
 * The right to propose states. Ballots are ordered, and each belongs to one life of one process.
 *
 * @param round the higher one wins
 * @param proposer the life of the process that made the ballot; a process that starts again never makes the same one
 */
public record Ballot(long round, String proposer) implements Comparable<Ballot> {

    /** Lower than all ballots. */
    public static final Ballot NONE = new Ballot(0, "");

    private static final Comparator<Ballot> ORDER =
            Comparator.comparingLong(Ballot::round).thenComparing(Ballot::proposer);

    @Override
    public int compareTo(Ballot other) {
        return ORDER.compare(this, other);
    }

    /** The higher one of two. */
    public static Ballot max(Ballot one, Ballot other) {
        return one.compareTo(other) >= 0 ? one : other;
    }
}
