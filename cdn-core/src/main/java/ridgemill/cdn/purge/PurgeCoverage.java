package ridgemill.cdn.purge;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ridgemill.cdn.keys.ClaimVote;

/**
 * Since when a cache has heard of all purges. An acknowledged purge is known to a majority of the stores, so a cache that
 * has followed a majority of them without a gap has heard of it. A store that starts anew, or that can't continue from
 * the last number, leaves a gap: its coverage begins again.
 */
public final class PurgeCoverage {

    private final Map<String, Double> coveredSinceMs = new HashMap<>();
    private List<String> voters = List.of();

    /** Sets the voting stores; what others tell covers nothing. */
    public void setVoters(List<String> stores) {
        voters = List.copyOf(stores);
    }

    /** The news of a store begin again, with a possible gap before. */
    public void restarted(String store, double nowMs) {
        coveredSinceMs.put(store, nowMs);
    }

    /** Whether every purge that was acknowledged after a moment has been heard of, or will be on a held connection. */
    public boolean covers(double sinceMs) {
        int covering = 0;
        for (String voter : voters) {
            Double since = coveredSinceMs.get(voter);
            covering += since != null && since <= sinceMs ? 1 : 0;
        }
        return !voters.isEmpty() && covering >= ClaimVote.majority(voters.size());
    }
}
