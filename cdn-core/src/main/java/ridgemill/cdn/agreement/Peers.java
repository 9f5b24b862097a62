package ridgemill.cdn.agreement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import ridgemill.cdn.quorum.Voter;
import ridgemill.cdn.quorum.VoterSet;

/** The newest status of each other store, and when it was received. */
final class Peers {

    /** The age of a voter's last status from which on it counts as gone and may be replaced, in milliseconds. */
    static final double GONE_MS = 2_000;
    /** The maximum age of the last status of a store that is chosen as a voter, in milliseconds. */
    static final double FRESH_MS = 1_500;
    /** The age at which a status is discarded, in milliseconds. */
    private static final double RETENTION_MS = 30_000;

    private final Voter self;
    private final List<String> seeds;
    private final Map<String, ReceivedStatus> statuses = new HashMap<>();
    private final TreeSet<String> reportedAddresses = new TreeSet<>();
    private double startedAtMs;

    private record ReceivedStatus(AgreementMessage.Status status, double atMs) {}

    Peers(Voter self, List<String> seeds) {
        this.self = self;
        this.seeds = List.copyOf(seeds);
    }

    void start(double nowMs) {
        startedAtMs = nowMs;
    }

    /** Records a status that was received. */
    void record(AgreementMessage.Status status, double nowMs) {
        statuses.put(status.from().address(), new ReceivedStatus(status, nowMs));
        reportedAddresses.addAll(status.knownAddresses());
    }

    /** Discards old statuses, and addresses that other stores reported and that sent no status. */
    void tick(double nowMs) {
        if (statuses.values().removeIf(received -> nowMs - received.atMs() > RETENTION_MS)) {
            reportedAddresses.retainAll(statuses.keySet());
        }
    }

    /** The newest status of each store, if it is no older than a maximum age in milliseconds. */
    Collection<AgreementMessage.Status> recentStatuses(double maxAgeMs, double nowMs) {
        List<AgreementMessage.Status> fresh = new ArrayList<>();
        for (ReceivedStatus received : statuses.values()) {
            if (nowMs - received.atMs() <= maxAgeMs) {
                fresh.add(received.status());
            }
        }
        return fresh;
    }

    /**
     * The newest status of a store if it is no older than a maximum age in milliseconds; else null. A status of another
     * disk on the same machine is that of another store.
     */
    AgreementMessage.Status recentStatus(Voter voter, double maxAgeMs, double nowMs) {
        ReceivedStatus received = statuses.get(voter.address());
        boolean fresh =
                received != null && received.status().from().equals(voter) && nowMs - received.atMs() <= maxAgeMs;
        return fresh ? received.status() : null;
    }

    /** Whether a voter is gone: it sent no status for long, is about to stop, or its machine has another disk now. */
    boolean isGone(Voter voter, double nowMs) {
        ReceivedStatus received = statuses.get(voter.address());
        if (received == null) {
            return nowMs - startedAtMs > GONE_MS;
        }
        if (!received.status().from().equals(voter) || received.status().leaving()) {
            return true;
        }
        return nowMs - received.atMs() > GONE_MS;
    }

    /** The IP addresses of all stores that this store sends its status to. */
    List<String> statusRecipients(VoterSet accepted, VoterSet decided) {
        TreeSet<String> addresses = new TreeSet<>(seeds);
        addresses.addAll(accepted.addresses());
        addresses.addAll(decided.addresses());
        addresses.addAll(statuses.keySet());
        addresses.addAll(reportedAddresses);
        addresses.remove(self.address());
        return List.copyOf(addresses);
    }

    /** The IP addresses of the stores that a recent status was received from. */
    List<String> knownAddresses(double nowMs) {
        return recentStatuses(GONE_MS, nowMs).stream()
                .map(status -> status.from().address())
                .sorted()
                .toList();
    }
}
