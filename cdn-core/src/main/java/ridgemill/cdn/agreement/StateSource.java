package ridgemill.cdn.agreement;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import ridgemill.cdn.config.VersionedItem;
import ridgemill.cdn.quorum.Voter;
import ridgemill.cdn.quorum.VoterSet;

/**
 * Sends this store's accepted state to other stores: the missing deltas if they are small, else a snapshot in pages.
 */
final class StateSource {

    /** A page ends once its items reach this size, in characters. */
    private static final long PAGE_CHARACTERS = 128 << 10;
    /** A snapshot is sent instead of a difference that exceeds this size, in characters. */
    private static final long MAX_DIFFERENCE_CHARACTERS = 512 << 10;
    /** How long a snapshot is kept after the last request for one of its pages, in milliseconds. */
    private static final double SNAPSHOT_RETENTION_MS = 5_000;

    private static final int MAX_SNAPSHOTS = 8;

    private final Voter self;
    private final Acceptor acceptor;
    private final DecidedView view;
    private final Map<String, Snapshot> snapshots = new LinkedHashMap<>();

    private static final class Snapshot {

        private final StateId stateId;
        private final VoterSet voters;
        private final long digest;
        private final List<List<VersionedItem>> pages;
        private double requestedAtMs;

        Snapshot(ControlState state) {
            stateId = state.id();
            voters = state.voters();
            digest = state.digest();
            pages = pagesOf(state);
        }
    }

    StateSource(Voter self, Acceptor acceptor, DecidedView view) {
        this.self = self;
        this.acceptor = acceptor;
        this.view = view;
    }

    /** The answer to a pull request. */
    AgreementMessage answer(AgreementMessage.Pull pull, double nowMs) {
        Snapshot snapshot = snapshots.get(pull.transferId());
        if (snapshot == null) {
            List<StateDelta> deltas = missingDeltas(pull.heldStateId());
            if (deltas != null) {
                return new AgreementMessage.Difference(self, pull.transferId(), view.decided(), deltas);
            }
            snapshot = new Snapshot(acceptor.state());
            snapshots.put(pull.transferId(), snapshot);
        }
        snapshot.requestedAtMs = nowMs;
        int page = Math.min(pull.page(), snapshot.pages.size() - 1);
        return new AgreementMessage.Page(
                self,
                pull.transferId(),
                view.decided(),
                page,
                snapshot.pages.size(),
                snapshot.stateId,
                snapshot.voters,
                snapshot.pages.get(page),
                snapshot.digest);
    }

    private List<StateDelta> missingDeltas(StateId heldStateId) {
        if (heldStateId.equals(acceptor.state().id())) {
            return List.of();
        }
        List<StateDelta> deltas = view.deltasFrom(heldStateId);
        long characters = deltas == null
                ? 0
                : deltas.stream().mapToLong(StateDelta::characters).sum();
        return characters > MAX_DIFFERENCE_CHARACTERS ? null : deltas;
    }

    /** Discards snapshots that are no longer requested, and the oldest ones beyond the maximum number. */
    void tick(double nowMs) {
        snapshots.values().removeIf(snapshot -> nowMs - snapshot.requestedAtMs > SNAPSHOT_RETENTION_MS);
        while (snapshots.size() > MAX_SNAPSHOTS) {
            snapshots.remove(snapshots.keySet().iterator().next());
        }
    }

    private static List<List<VersionedItem>> pagesOf(ControlState state) {
        List<List<VersionedItem>> pages = new ArrayList<>();
        List<VersionedItem> page = new ArrayList<>();
        long characters = 0;
        for (VersionedItem entry : state.items()) {
            page.add(entry);
            characters += ControlState.charactersOf(entry);
            if (characters >= PAGE_CHARACTERS) {
                pages.add(List.copyOf(page));
                page.clear();
                characters = 0;
            }
        }
        if (!page.isEmpty() || pages.isEmpty()) {
            pages.add(List.copyOf(page));
        }
        return pages;
    }
}
