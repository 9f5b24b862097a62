package ridgemill.cdn.keys;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Counts the votes of one claim. The claim is granted once a majority of the voters holds the key for it; as two
 * majorities share a voter, and a voter holds a key for one claim at a time, at most one claim is granted.
 */
public final class ClaimVote {

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
    private final int voters;
    private final Set<String> granted = new HashSet<>();
    private final Map<String, Integer> heldByOthers = new HashMap<>();
    private int refused;
    private int unavailable;
    private byte[] answer;

    /**
     * A vote in which nobody has voted.
     *
     * @param claimId the claim that is voted on
     * @param voters how many voters there are, 1 or more
     */
    public ClaimVote(String claimId, int voters) {
        this.claimId = claimId;
        this.voters = voters;
    }

    /** How many voters are a majority. */
    public static int majority(int voters) {
        return voters / 2 + 1;
    }

    /** Counts the vote of a voter; each voter's vote is counted once. */
    public void vote(String voter, KeyState state, String holder, byte[] recordedAnswer) {
        if (state == KeyState.FINISHED) {
            answer = recordedAnswer;
        } else if (state == KeyState.HELD && holder.equals(claimId)) {
            granted.add(voter);
        } else {
            refused++;
            heldByOthers.merge(holder, 1, Integer::sum);
        }
    }

    /** Counts a voter that can't vote or did not answer in time. */
    public void unavailable() {
        unavailable++;
    }

    /** The recorded answer if the result is {@link Result#FINISHED}. */
    public byte[] answer() {
        return answer;
    }

    /** What the votes so far amount to. */
    public Result result() {
        int majority = majority(voters);
        if (answer != null) {
            return Result.FINISHED;
        }
        if (granted.size() >= majority) {
            return Result.GRANTED;
        }
        for (int held : heldByOthers.values()) {
            if (held >= majority) {
                return Result.HELD_BY_OTHER;
            }
        }
        int outstanding = voters - granted.size() - refused - unavailable;
        if (granted.size() + outstanding >= majority && outstanding > 0) {
            return Result.OPEN;
        }
        if (outstanding > 0 && refused > 0) {
            return Result.OPEN;
        }
        return refused > 0 ? Result.SPLIT : Result.UNAVAILABLE;
    }
}
