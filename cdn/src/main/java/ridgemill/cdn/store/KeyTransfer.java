package ridgemill.cdn.store;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import ridgemill.cdn.keys.KeyRecord;
import ridgemill.cdn.quorum.Voter;
import ridgemill.cdn.quorum.VoterSet;
import ridgemill.cdn.wire.CallFailure;
import ridgemill.cdn.wire.Message;
import ridgemill.cdn.wire.StoreMessages;

/**
 * Fetches the operation keys for a store that is about to become a voter, from a majority of the voters that it joins.
 * Each of them no longer grants keys in the previous epoch. A key that was granted by a majority is therefore held by
 * at least one of them. Runs on the event loop.
 */
final class KeyTransfer {

    private static final long CALL_TIMEOUT_MS = 1_000;

    private final StoreReplica replica;
    private final StorePeers peers;
    private final Map<Voter, List<KeyRecord>> recordsByVoter = new HashMap<>();
    private final Set<Voter> pendingVoters = new HashSet<>();
    private VoterSet change = VoterSet.UNKNOWN;
    private boolean merging;

    KeyTransfer(StoreReplica replica, StorePeers peers) {
        this.replica = replica;
        this.peers = peers;
    }

    /** Starts the requests that are possible now. Called periodically. */
    void requestMissingPages() {
        VoterSet pendingChange = replica.agreement().voterChangeAwaitingKeys();
        if (pendingChange == null) {
            return;
        }
        if (!pendingChange.equals(change)) {
            change = pendingChange;
            recordsByVoter.clear();
            pendingVoters.clear();
            merging = false;
        }
        for (Voter voter : change.baseVoters()) {
            if (!recordsByVoter.containsKey(voter) && pendingVoters.add(voter)) {
                requestPage(change, voter, "", new ArrayList<>());
            }
        }
    }

    private void requestPage(VoterSet requestedChange, Voter voter, String afterKey, List<KeyRecord> records) {
        peers.linkTo(voter.address())
                .call(
                        callId -> new StoreMessages.PullKeys(callId, afterKey),
                        CALL_TIMEOUT_MS,
                        reply -> onPage(requestedChange, voter, records, reply));
    }

    private void onPage(
            VoterSet requestedChange, Voter voter, List<KeyRecord> records, Either<CallFailure, Message.Reply> reply) {
        if (!requestedChange.equals(change)) {
            return;
        }
        boolean usable = reply.isRight()
                && reply.get() instanceof StoreMessages.KeysPage keysPage
                && keysPage.store().equals(voter)
                && keysPage.epoch() == requestedChange.epoch();
        if (!usable) {
            pendingVoters.remove(voter);
            return;
        }
        StoreMessages.KeysPage page = (StoreMessages.KeysPage) reply.get();
        records.addAll(page.records());
        if (page.lastPage()) {
            pendingVoters.remove(voter);
            recordsByVoter.put(voter, records);
            mergeIfQuorum();
        } else {
            requestPage(requestedChange, voter, records.get(records.size() - 1).key(), records);
        }
    }

    private void mergeIfQuorum() {
        if (merging || !change.hasMajorityOfBase(recordsByVoter::containsKey)) {
            return;
        }
        merging = true;
        List<KeyRecord> all = new ArrayList<>();
        recordsByVoter.values().forEach(all::addAll);
        replica.mergeTransferredKeys(all, change.epoch());
    }
}
