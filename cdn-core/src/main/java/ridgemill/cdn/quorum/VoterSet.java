package ridgemill.cdn.quorum;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The stores that vote in one epoch. While voters are being replaced the set is joint, as in the joint consensus of
 * Raft: a quorum is a majority of the voters and a majority of the previous voters, so that quorums of adjacent epochs
 * always intersect.
 *
 * @param epoch increases by one with each change; 0 while nothing is known
 * @param voters the voters, each once
 * @param previous the voters that are being replaced; empty unless the set is joint
 */
public record VoterSet(long epoch, List<Voter> voters, List<Voter> previous) {

    /** The value that is used before any voters are known. */
    public static final VoterSet UNKNOWN = new VoterSet(0, List.of(), List.of());

    public VoterSet {
        voters = List.copyOf(voters);
        previous = List.copyOf(previous);
    }

    /** Whether any voters are known. */
    public boolean isKnown() {
        return !voters.isEmpty();
    }

    /** Whether voters are being replaced. */
    public boolean isJoint() {
        return !previous.isEmpty();
    }

    /** Whether a store votes, as one of the voters or of those that are being replaced. */
    public boolean contains(Voter voter) {
        return voters.contains(voter) || previous.contains(voter);
    }

    /** Whether this set has a higher epoch than the other one. */
    public boolean isNewerThan(VoterSet other) {
        return epoch > other.epoch;
    }

    /** All stores that vote, each once, including those that are being replaced. */
    public List<Voter> members() {
        Set<Voter> members = new LinkedHashSet<>(voters);
        members.addAll(previous);
        return List.copyOf(members);
    }

    /** The IP addresses of all members, each once. */
    public List<String> addresses() {
        return members().stream().map(Voter::address).distinct().toList();
    }

    /** Whether the agreeing stores form a quorum. Never true while no voters are known. */
    public boolean hasQuorum(Predicate<Voter> agrees) {
        return isKnown() && isMajorityOf(voters, agrees) && (previous.isEmpty() || isMajorityOf(previous, agrees));
    }

    /** Whether the agreeing stores are a majority of {@link #baseVoters}. */
    public boolean hasMajorityOfBase(Predicate<Voter> agrees) {
        return isMajorityOf(baseVoters(), agrees);
    }

    /** As {@link #hasQuorum}, with agreement given by the IP addresses of the voters' machines. */
    public boolean hasQuorumOfAddresses(Predicate<String> agrees) {
        return hasQuorum(voter -> agrees.test(voter.address()));
    }

    private static boolean isMajorityOf(List<Voter> voters, Predicate<Voter> agrees) {
        int agreeing = 0;
        for (Voter voter : voters) {
            agreeing += agrees.test(voter) ? 1 : 0;
        }
        return 2 * agreeing > voters.size();
    }

    /** The set of the next epoch, in which other voters replace the base voters; joint unless they are the same. */
    public VoterSet changedTo(List<Voter> next) {
        List<Voter> baseVoters = baseVoters();
        boolean same = baseVoters.size() == next.size() && baseVoters.containsAll(next);
        return new VoterSet(epoch + 1, next, same ? List.of() : baseVoters);
    }

    /** The voters that a change starts from: the previous voters in a joint set, else the voters. */
    public List<Voter> baseVoters() {
        return isJoint() ? previous : voters;
    }

    /** The set of the next epoch, in which the replaced voters no longer vote. */
    public VoterSet completed() {
        return new VoterSet(epoch + 1, voters, List.of());
    }

    /** The voters that are not among the previous ones; empty unless the set is joint. */
    public List<Voter> addedVoters() {
        if (!isJoint()) {
            return List.of();
        }
        List<Voter> added = new ArrayList<>(voters);
        added.removeAll(previous);
        return added;
    }
}
