package ridgemill.cdn.purge;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import ridgemill.cdn.quorum.Voter;
import ridgemill.cdn.quorum.VoterSet;

/**
 * Tracks since when a cache has received all purges. An acknowledged purge is known to a majority of the voting stores,
 * so a cache that has followed a majority of them without a gap has received it. A store that restarts, or that can't
 * continue from the last number that the cache received, leaves a gap: its coverage starts again.
 */
public final class PurgeCoverage {

    private final Map<Voter, Double> coveredSinceMs = new HashMap<>();
    private VoterSet voters = VoterSet.UNKNOWN;

    /** Sets the voting stores; other stores do not count. */
    public void setVoters(VoterSet stores) {
        voters = stores;
    }

    /** Records that the stream of purges from a store starts again, possibly after a gap. */
    public void streamStarted(Voter store, double nowMs) {
        coveredSinceMs.put(store, nowMs);
    }

    /**
     * Since how many milliseconds the stream of each voting store is followed, and whether it is connected now, for
     * logs.
     */
    public String describe(double nowMs, Predicate<Voter> isConnected) {
        StringBuilder text = new StringBuilder("epoch=" + voters.epoch());
        for (Voter voter : voters.members()) {
            Double sinceMs = coveredSinceMs.get(voter);
            text.append(' ')
                    .append(voter)
                    .append(sinceMs == null ? ":none" : ":" + Math.round(nowMs - sinceMs) + "ms")
                    .append(isConnected.test(voter) ? ":connected" : ":lost");
        }
        return text.toString();
    }

    /** Whether every purge acknowledged after a time has been received, or will be on an established connection. */
    public boolean covers(double sinceMs) {
        return voters.hasQuorum(voter -> {
            Double since = coveredSinceMs.get(voter);
            return since != null && since <= sinceMs;
        });
    }
}
