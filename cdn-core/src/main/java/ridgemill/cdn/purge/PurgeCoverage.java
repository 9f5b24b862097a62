package ridgemill.cdn.purge;

import java.util.HashMap;
import java.util.Map;
import ridgemill.cdn.quorum.Voter;
import ridgemill.cdn.quorum.VoterSet;

/**
 * Since when a cache has heard of all purges. An acknowledged purge is known to a majority of the stores, so a cache that
 * has followed a majority of them without a gap has heard of it. A store that starts anew, or that can't continue from
 * the last number, leaves a gap: its coverage begins again.
 */
public final class PurgeCoverage {

    private final Map<Voter, Double> coveredSinceMs = new HashMap<>();
    private VoterSet voters = VoterSet.UNKNOWN;

    /** Sets the voting stores; what others tell covers nothing. */
    public void setVoters(VoterSet stores) {
        voters = stores;
    }

    /** The news of a store begin again, with a possible gap before. */
    public void streamStarted(Voter store, double nowMs) {
        coveredSinceMs.put(store, nowMs);
    }

    /** Whether every purge that was acknowledged after a moment has been heard of, or will be on a held connection. */
    public boolean covers(double sinceMs) {
        return voters.hasQuorum(voter -> {
            Double since = coveredSinceMs.get(voter);
            return since != null && since <= sinceMs;
        });
    }
}
