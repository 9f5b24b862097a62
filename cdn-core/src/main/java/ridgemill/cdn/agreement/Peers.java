package ridgemill.cdn.agreement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import ridgemill.cdn.quorum.Voter;
import ridgemill.cdn.quorum.VoterSet;

/** What the other stores said of themselves, and when. */
final class Peers {

    /** A store that was not heard for so long is gone for the choice of voters, in milliseconds. */
    static final double GONE_MS = 2_000;
    /** A store that was not heard for so long is not chosen as a voter, in milliseconds. */
    static final double FRESH_MS = 1_500;
    /** A store that was not heard for so long is forgotten, in milliseconds. */
    private static final double RETENTION_MS = 30_000;

    private final Voter self;
    private final List<String> seeds;
    private final Map<String, Heard> lastHeard = new HashMap<>();
    private final TreeSet<String> reportedAddresses = new TreeSet<>();
    private double startedAtMs;

    private record Heard(AgreementMessage.Status status, double atMs) {}

    Peers(Voter self, List<String> seeds) {
        this.self = self;
        this.seeds = List.copyOf(seeds);
    }

    void start(double nowMs) {
        startedAtMs = nowMs;
    }

    /** The seeds' IP addresses. */
    List<String> seeds() {
        return seeds;
    }

    /** Takes what a store says of itself. */
    void record(AgreementMessage.Status status, double nowMs) {
        lastHeard.put(status.from().address(), new Heard(status, nowMs));
        reportedAddresses.addAll(status.knownAddresses());
    }

    /** Forgets stores that were not heard for long. */
    void tick(double nowMs) {
        if (lastHeard.values().removeIf(entry -> nowMs - entry.atMs() > RETENTION_MS)) {
            reportedAddresses.retainAll(lastHeard.keySet());
        }
    }

    /** The newest statuses of the stores that were heard within a time. */
    Collection<AgreementMessage.Status> recentStatuses(double boundMs, double nowMs) {
        List<AgreementMessage.Status> fresh = new ArrayList<>();
        for (Heard entry : lastHeard.values()) {
            if (nowMs - entry.atMs() <= boundMs) {
                fresh.add(entry.status());
            }
        }
        return fresh;
    }

    /** What a store said last, if it was heard within a time; else null. A lost disk is another store. */
    AgreementMessage.Status recentStatus(Voter voter, double boundMs, double nowMs) {
        Heard entry = lastHeard.get(voter.address());
        boolean fresh = entry != null && entry.status().from().equals(voter) && nowMs - entry.atMs() <= boundMs;
        return fresh ? entry.status() : null;
    }

    /** Whether a voter is gone: silent for long, about to end, or its machine has another disk now. */
    boolean isGone(Voter voter, double nowMs) {
        Heard entry = lastHeard.get(voter.address());
        if (entry == null) {
            return nowMs - startedAtMs > GONE_MS;
        }
        if (!entry.status().from().equals(voter) || entry.status().leaving()) {
            return true;
        }
        return nowMs - entry.atMs() > GONE_MS;
    }

    /** Everybody to tell of this store's status. */
    List<String> statusRecipients(VoterSet accepted, VoterSet decided) {
        TreeSet<String> addresses = new TreeSet<>(seeds);
        addresses.addAll(accepted.addresses());
        addresses.addAll(decided.addresses());
        addresses.addAll(lastHeard.keySet());
        addresses.addAll(reportedAddresses);
        addresses.remove(self.address());
        return List.copyOf(addresses);
    }

    /** The IP addresses of the stores heard lately. */
    List<String> knownAddresses(double nowMs) {
        return recentStatuses(GONE_MS, nowMs).stream()
                .map(status -> status.from().address())
                .sorted()
                .toList();
    }
}
