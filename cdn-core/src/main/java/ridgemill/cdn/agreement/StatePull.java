package ridgemill.cdn.agreement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import ridgemill.cdn.config.VersionedItem;
import ridgemill.cdn.quorum.Voter;

/** Pulls the state of another store: requests one page after another and verifies the whole state by its digest. */
final class StatePull {

    /** How long to wait for a page before it is requested again, in milliseconds. */
    private static final double RETRY_INTERVAL_MS = 300;
    /** A transfer that receives nothing for this long is cancelled, in milliseconds. */
    private static final double STALL_TIMEOUT_MS = 1_500;

    private final Voter self;
    private final String transferIdPrefix;
    private final AgreementEnvironment environment;
    private final List<VersionedItem> items = new ArrayList<>();
    private long transferCount;
    private Voter source;
    private String transferId;
    private StateId heldStateId;
    private StateId stateId;
    private int nextPage;
    private double requestedAtMs;
    private double lastReceivedAtMs;

    /**
     * A pull without a transfer in progress.
     *
     * @param transferIdPrefix identifies this run of the process and this user of transfers, so that answers to earlier
     *     transfers are ignored
     */
    StatePull(Voter self, String transferIdPrefix, AgreementEnvironment environment) {
        this.self = self;
        this.transferIdPrefix = transferIdPrefix;
        this.environment = environment;
    }

    boolean isActive() {
        return source != null;
    }

    /** Whether the transfer in progress is from this store. */
    boolean isFrom(Voter store) {
        return store.equals(source);
    }

    /** Starts a transfer, and cancels the one in progress. */
    void begin(Voter from, StateId held, double nowMs) {
        source = from;
        heldStateId = held;
        transferId = transferIdPrefix + "-" + ++transferCount;
        restart();
        lastReceivedAtMs = nowMs;
        requestPage(nowMs);
    }

    void cancel() {
        source = null;
    }

    private void restart() {
        nextPage = 0;
        stateId = null;
        items.clear();
    }

    private void requestPage(double nowMs) {
        requestedAtMs = nowMs;
        environment.send(source.address(), new AgreementMessage.Pull(self, transferId, heldStateId, nextPage));
    }

    /** Requests a missing page again, or cancels a stalled transfer. */
    void tick(double nowMs) {
        if (!isActive()) {
            return;
        }
        if (nowMs - lastReceivedAtMs > STALL_TIMEOUT_MS) {
            cancel();
        } else if (nowMs - requestedAtMs > RETRY_INTERVAL_MS) {
            requestPage(nowMs);
        }
    }

    private boolean isExpected(Voter from, String expectedTransferId) {
        return isActive() && source.equals(from) && transferId.equals(expectedTransferId);
    }

    /** Handles a difference. Returns the pulled deltas if it belongs to the transfer in progress. */
    Optional<PulledState> receive(AgreementMessage.Difference difference) {
        if (!isExpected(difference.from(), difference.transferId())) {
            return Optional.empty();
        }
        cancel();
        return Optional.of(new PulledState(difference.from(), difference.decided(), difference.deltas(), null));
    }

    /** Handles a page. Returns the pulled state once all pages have arrived and match the digest. */
    Optional<PulledState> receive(AgreementMessage.Page received, double nowMs) {
        if (!isExpected(received.from(), received.transferId())) {
            return Optional.empty();
        }
        if (stateId != null && !received.stateId().equals(stateId)) {
            restart();
        }
        if (received.page() != nextPage) {
            return Optional.empty();
        }
        lastReceivedAtMs = nowMs;
        stateId = received.stateId();
        items.addAll(received.items());
        nextPage++;
        if (nextPage < received.pageCount()) {
            requestPage(nowMs);
            return Optional.empty();
        }
        ControlState state = new ControlState(received.stateId(), received.voters(), items);
        cancel();
        boolean intact = state.digest() == received.digest();
        return intact
                ? Optional.of(new PulledState(received.from(), received.decided(), List.of(), state))
                : Optional.empty();
    }
}
