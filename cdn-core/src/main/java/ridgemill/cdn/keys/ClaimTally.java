package ridgemill.cdn.keys;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import ridgemill.cdn.quorum.Voter;
import ridgemill.cdn.quorum.VoterSet;

/**
 * Counts the votes of one claim. The claim is granted once a majority of the voters holds the key for it; as two
 * majorities share a voter, and a voter holds a key for one claim at a time, at most one claim is granted.
 */
public final class ClaimTally {

    /** What the votes so far amount to. */
    public enum Result {
        /** More votes are needed. */
        OPEN,
        /** A majority holds the key for this claim. */
        GRANTED,
        /** A voter knows the recorded answer of the operation. */
        FINISHED,
        /** A majority holds the key for one other claim. */
        HELD_BY_OTHER,
        /** No claim has a majority, and this one can't have it any more: it has to be given back and made anew. */
        SPLIT,
        /** Too many voters can't vote. */
        UNAVAILABLE
    }

    private final String claimId;
    private final VoterSet voters;
    private final Set<Voter> granted = new HashSet<>();
    private final Map<String, Set<Voter>> heldByOthers = new HashMap<>();
    private final Set<Voter> refused = new HashSet<>();
    private final Set<Voter> unavailable = new HashSet<>();
    private boolean epochMismatch;
    private byte[] answer;

    /**
     * A vote in which nobody has voted.
     *
     * @param claimId the claim that is voted on
     * @param voters those that vote, in the epoch that the claim names
     */
    public ClaimTally(String claimId, VoterSet voters) {
        this.claimId = claimId;
        this.voters = voters;
    }

    /** Counts the vote of a voter; each voter's vote is counted once. */
    public void countVote(Voter voter, KeyState state, String holder, byte[] recordedAnswer) {
        if (state == KeyState.FINISHED) {
            answer = recordedAnswer;
        } else if (state == KeyState.HELD && holder.equals(claimId)) {
            granted.add(voter);
        } else {
            refused.add(voter);
            heldByOthers.computeIfAbsent(holder, claim -> new HashSet<>()).add(voter);
        }
    }

    /** Counts a voter that can't vote or did not answer in time. */
    public void countUnavailable(Voter voter) {
        unavailable.add(voter);
    }

    /** Counts a voter that is in another epoch than the claim: the claim may be made anew in the newer one. */
    public void countEpochMismatch(Voter voter) {
        unavailable.add(voter);
        epochMismatch = true;
    }

    /** The recorded answer if the result is {@link Result#FINISHED}. */
    public byte[] answer() {
        return answer;
    }

    /** What the votes so far amount to. */
    public Result result() {
        if (answer != null) {
            return Result.FINISHED;
        }
        if (voters.hasQuorum(granted::contains)) {
            return Result.GRANTED;
        }
        for (Set<Voter> holders : heldByOthers.values()) {
            if (voters.hasQuorum(holders::contains)) {
                return Result.HELD_BY_OTHER;
            }
        }
        boolean allVoted = voters.members().stream().allMatch(this::hasVoted);
        boolean reachable = voters.hasQuorum(voter -> granted.contains(voter) || !hasVoted(voter));
        if (!allVoted && (reachable || !refused.isEmpty())) {
            return Result.OPEN;
        }
        return refused.isEmpty() && !epochMismatch ? Result.UNAVAILABLE : Result.SPLIT;
    }

    private boolean hasVoted(Voter voter) {
        return granted.contains(voter) || refused.contains(voter) || unavailable.contains(voter);
    }
}
