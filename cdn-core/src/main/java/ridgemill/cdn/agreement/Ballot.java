package ridgemill.cdn.agreement;

import java.util.Comparator;

/**
 * A ballot number, under which one proposer may propose states. Ballots are totally ordered, and each belongs to one
 * incarnation of one process.
 *
 * @param round the round; a higher round makes a higher ballot
 * @param proposer the incarnation of the process that made the ballot, so that a restarted process never makes the same
 *     ballot again
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

    /** The higher of two ballots. */
    public static Ballot max(Ballot one, Ballot other) {
        return one.compareTo(other) >= 0 ? one : other;
    }
}
