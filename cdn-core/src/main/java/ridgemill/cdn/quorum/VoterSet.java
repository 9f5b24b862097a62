package ridgemill.cdn.quorum;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The stores that vote, in one epoch. While voters are being replaced the set is joint: what is decided needs a majority
 * of the voters and a majority of those before them, so that no two majorities of neighbouring epochs miss each other.
 *
 * @param epoch rises by one with each change; 0 while nothing is known
 * @param voters the voters, each once
 * @param previous the voters that are being replaced; empty unless the set is joint
 */
public record VoterSet(long epoch, List<Voter> voters, List<Voter> previous) {

    /** What is known before any voters were learned. */
    public static final VoterSet UNKNOWN = new VoterSet(0, List.of(), List.of());

    public VoterSet {
        voters = List.copyOf(voters);
        previous = List.copyOf(previous);
    }

    /** Whether the voters are known. */
    public boolean isKnown() {
        return !voters.isEmpty();
    }

    /** Whether voters are being replaced. */
    public boolean isJoint() {
        return !previous.isEmpty();
    }

    /** Whether a store votes, now or as one that is being replaced. */
    public boolean contains(Voter voter) {
        return voters.contains(voter) || previous.contains(voter);
    }

    /** Whether this set replaces another one. */
    public boolean isNewerThan(VoterSet other) {
        return epoch > other.epoch;
    }

    /** All that vote, each once, those that are being replaced included. */
    public List<Voter> members() {
        Set<Voter> members = new LinkedHashSet<>(voters);
        members.addAll(previous);
        return List.copyOf(members);
    }

    /** The IP addresses of all members, each once. */
    public List<String> addresses() {
        return members().stream().map(Voter::address).distinct().toList();
    }

    /** Whether those that agree are enough to decide. */
    public boolean hasQuorum(Predicate<Voter> agrees) {
        return isKnown() && isMajorityOf(voters, agrees) && (previous.isEmpty() || isMajorityOf(previous, agrees));
    }

    /** Whether those that agree are a majority of the voters that a change starts from, see {@link #baseVoters}. */
    public boolean hasMajorityOfBase(Predicate<Voter> agrees) {
        return isMajorityOf(baseVoters(), agrees);
    }

    /** As {@link #hasQuorum}, counted by the machines that the voters run on. */
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

    /** The next epoch, in which other voters take the place of the ones that stand; joint unless these stay. */
    public VoterSet changedTo(List<Voter> next) {
        List<Voter> standing = baseVoters();
        boolean same = standing.size() == next.size() && standing.containsAll(next);
        return new VoterSet(epoch + 1, next, same ? List.of() : standing);
    }

    /** The voters that a change starts from: in a joint set those that are being replaced. */
    public List<Voter> baseVoters() {
        return isJoint() ? previous : voters;
    }

    /** The next epoch, in which the voters that were replaced vote no more. */
    public VoterSet completed() {
        return new VoterSet(epoch + 1, voters, List.of());
    }

    /** The voters that were not among those before them; empty unless the set is joint. */
    public List<Voter> addedVoters() {
        if (!isJoint()) {
            return List.of();
        }
        List<Voter> newcomers = new ArrayList<>(voters);
        newcomers.removeAll(previous);
        return newcomers;
    }
}
