package ridgemill.cdn.agreement;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import ridgemill.cdn.config.VersionedItem;
import ridgemill.cdn.quorum.Voter;
import ridgemill.cdn.quorum.VoterSet;

/** Sends this store's accepted state to others: what they lack, where that is little, else a snapshot in pages. */
final class StateSource {

    /** A page ends once its items have so many characters. */
    private static final long PAGE_CHARACTERS = 128 << 10;
    /** A difference of more characters is not sent; the snapshot's pages are. */
    private static final long DIFFERENCE_CHARACTERS = 512 << 10;
    /** For how long a snapshot is kept after its last page was asked for, in milliseconds. */
    private static final double KEPT_MS = 5_000;

    private static final int KEPT_SNAPSHOTS = 8;

    private final Voter self;
    private final Acceptor acceptor;
    private final DecidedView view;
    private final Map<String, Snapshot> snapshots = new LinkedHashMap<>();

    private static final class Snapshot {

        private final Stamp stamp;
        private final VoterSet voters;
        private final long digest;
        private final List<List<VersionedItem>> pages;
        private double askedAtMs;

        Snapshot(ControlState state) {
            stamp = state.stamp();
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

    /** The answer to a store that asks. */
    AgreementMessage answer(AgreementMessage.Pull pull, double nowMs) {
        Snapshot kept = snapshots.get(pull.transfer());
        if (kept == null) {
            List<Step> steps = difference(pull.have());
            if (steps != null) {
                return new AgreementMessage.Difference(self, pull.transfer(), view.decided(), steps);
            }
            kept = new Snapshot(acceptor.state());
            snapshots.put(pull.transfer(), kept);
        }
        kept.askedAtMs = nowMs;
        int page = Math.min(pull.page(), kept.pages.size() - 1);
        return new AgreementMessage.Page(
                self,
                pull.transfer(),
                view.decided(),
                page,
                kept.pages.size(),
                kept.stamp,
                kept.voters,
                kept.pages.get(page),
                kept.digest);
    }

    private List<Step> difference(Stamp have) {
        if (have.equals(acceptor.state().stamp())) {
            return List.of();
        }
        List<Step> steps = view.stepsFrom(have);
        long characters =
                steps == null ? 0 : steps.stream().mapToLong(Step::characters).sum();
        return characters > DIFFERENCE_CHARACTERS ? null : steps;
    }

    /** Forgets snapshots that nobody asks for any more. */
    void tick(double nowMs) {
        snapshots.values().removeIf(snapshot -> nowMs - snapshot.askedAtMs > KEPT_MS);
        while (snapshots.size() > KEPT_SNAPSHOTS) {
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
