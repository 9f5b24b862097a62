package ridgemill.cdn.keys;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import ridgemill.cdn.quorum.Voter;
import ridgemill.cdn.quorum.VoterSet;

/**
 * Counts the votes on one claim to an operation key. The claim is granted once a quorum of the voters holds the key for
 * it. Any two quorums share a voter, and a voter holds a key for one claim at a time, so at most one claim is granted.
 */
public final class ClaimTally {

    /** The result of the votes counted so far. */
    public enum Result {
        /** More votes are needed. */
        OPEN,
        /** A quorum holds the key for this claim. */
        GRANTED,
        /** A voter has the recorded answer of the operation. */
        FINISHED,
        /** A quorum holds the key for one other claim. */
        HELD_BY_OTHER,
        /** No claim has a quorum and this one can no longer reach it; it has to be released and a new claim made. */
        SPLIT,
        /** Too many voters are unavailable. */
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
     * A tally without any votes.
     *
     * @param claimId the claim that is voted on
     * @param voters the voters of the epoch that the claim names
     */
    public ClaimTally(String claimId, VoterSet voters) {
        this.claimId = claimId;
        this.voters = voters;
    }

    /**
     * Counts the vote of a voter; a repeated vote counts once.
     *
     * @param state the state of the key at the voter
     * @param holder the claim that the voter's record of the key is about
     * @param recordedAnswer the recorded answer if the state is {@link KeyState#FINISHED}
     */
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

    /** Counts a voter that cannot vote or did not answer in time. */
    public void countUnavailable(Voter voter) {
        unavailable.add(voter);
    }

    /** Counts a voter that is in another epoch than the claim; a new claim may be made in the newer epoch. */
    public void countEpochMismatch(Voter voter) {
        unavailable.add(voter);
        epochMismatch = true;
    }

    /** The recorded answer if the result is {@link Result#FINISHED}; else null. */
    public byte[] answer() {
        return answer;
    }

    /** The result of the votes counted so far. */
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
