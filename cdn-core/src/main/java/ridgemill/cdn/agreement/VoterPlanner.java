package ridgemill.cdn.agreement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import ridgemill.cdn.quorum.Voter;
import ridgemill.cdn.quorum.VoterSet;

/**
 * Chooses the voters. A voter that is gone is replaced by another eligible store. The number of voters is odd, as large
 * as the number of tolerated losses requires, and the voters are spread over the zones.
 */
final class VoterPlanner {

    /** The minimum number of voters, if there are as many stores. */
    private static final int MIN_VOTERS = 3;

    private final Peers peers;
    private final StalledDiskDetector stalledDisks;
    private final int targetSize;

    /**
     * A planner.
     *
     * @param toleratedLosses how many of the counted machines may be lost at once
     */
    VoterPlanner(Peers peers, StalledDiskDetector disks, int toleratedLosses) {
        this.peers = peers;
        this.stalledDisks = disks;
        this.targetSize = Math.max(MIN_VOTERS, 2 * toleratedLosses + 1);
    }

    /**
     * The voters that should replace the current ones.
     *
     * @param own the status of this store
     * @return the voters; empty if the current ones, or those of the change in progress, need no replacement
     */
    Optional<List<Voter>> nextVoters(VoterSet current, AgreementMessage.Status own, double nowMs) {
        if (current.isJoint() && current.addedVoters().stream().noneMatch(voter -> isGone(voter, own, nowMs))) {
            return Optional.empty();
        }
        List<Voter> baseVoters = current.baseVoters();
        List<AgreementMessage.Status> candidates = candidates(baseVoters, own, nowMs);
        Map<Voter, String> zones = zones(own, nowMs);
        List<Voter> next = new ArrayList<>();
        for (Voter voter : baseVoters) {
            if (!isGone(voter, own, nowMs)) {
                next.add(voter);
            }
        }
        int lost = baseVoters.size() - next.size();
        fill(next, baseVoters.size(), candidates, zones);
        for (Voter voter : baseVoters) {
            // No candidate can replace this voter, so it stays: a voter that is gone may come back.
            if (next.size() < baseVoters.size() && !next.contains(voter)) {
                next.add(voter);
                lost--;
            }
        }
        int size = Math.min(targetSize, next.size() + candidates.size());
        fill(next, size % 2 == 1 || size <= next.size() ? size : size - 1, candidates, zones);
        boolean unchanged = lost == 0 && next.size() == baseVoters.size();
        return unchanged && !current.isJoint() ? Optional.empty() : Optional.of(List.copyOf(next));
    }

    /** Adds candidates until there are enough voters, first from the zones that have the fewest voters. */
    private static void fill(
            List<Voter> next, int size, List<AgreementMessage.Status> candidates, Map<Voter, String> zones) {
        while (next.size() < size && !candidates.isEmpty()) {
            AgreementMessage.Status best = candidates.stream()
                    .min(Comparator.comparingLong(
                                    (AgreementMessage.Status status) -> inZone(next, zones, status.zone()))
                            .thenComparing(AgreementMessage.Status::from))
                    .orElseThrow();
            candidates.remove(best);
            next.add(best.from());
        }
    }

    private static long inZone(List<Voter> voters, Map<Voter, String> zones, String zone) {
        return voters.stream().filter(voter -> zone.equals(zones.get(voter))).count();
    }

    private Map<Voter, String> zones(AgreementMessage.Status own, double nowMs) {
        Map<Voter, String> zones = new HashMap<>();
        zones.put(own.from(), own.zone());
        for (AgreementMessage.Status status : peers.recentStatuses(Double.MAX_VALUE, nowMs)) {
            zones.put(status.from(), status.zone());
        }
        return zones;
    }

    private List<AgreementMessage.Status> candidates(
            List<Voter> baseVoters, AgreementMessage.Status own, double nowMs) {
        List<AgreementMessage.Status> candidates = new ArrayList<>();
        List<AgreementMessage.Status> all = new ArrayList<>(peers.recentStatuses(Peers.FRESH_MS, nowMs));
        all.add(own);
        for (AgreementMessage.Status status : all) {
            boolean available = status.eligible() && !status.leaving() && !stalledDisks.isStalled(status.from(), nowMs);
            if (available && !baseVoters.contains(status.from())) {
                candidates.add(status);
            }
        }
        return candidates;
    }

    /** Whether another store could replace this one as a voter. */
    boolean hasCandidate(VoterSet current, AgreementMessage.Status own, double nowMs) {
        return candidates(current.baseVoters(), own, nowMs).stream()
                .anyMatch(status -> !status.from().equals(own.from()));
    }

    private boolean isGone(Voter voter, AgreementMessage.Status own, double nowMs) {
        if (stalledDisks.isStalled(voter, nowMs)) {
            return true;
        }
        return voter.equals(own.from()) ? own.leaving() : peers.isGone(voter, nowMs);
    }
}
