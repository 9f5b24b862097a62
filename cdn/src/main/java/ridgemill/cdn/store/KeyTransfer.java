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
 * Fetches the operation keys for a store that is to become a voter: from a majority of the voters that it joins, each of
 * which grants nothing in the epoch before any more. A key that was granted by a majority is then on one of them. On the
 * event loop.
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

    /** Goes on with what can be done now; called again and again. */
    void step() {
        VoterSet wanted = replica.agreement().voterChangeAwaitingKeys();
        if (wanted == null) {
            return;
        }
        if (!wanted.equals(change)) {
            change = wanted;
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

    private void requestPage(VoterSet forChange, Voter voter, String afterKey, List<KeyRecord> records) {
        peers.linkTo(voter.address())
                .call(
                        callId -> new StoreMessages.PullKeys(callId, afterKey),
                        CALL_TIMEOUT_MS,
                        reply -> onPage(forChange, voter, records, reply));
    }

    private void onPage(
            VoterSet forChange, Voter voter, List<KeyRecord> records, Either<CallFailure, Message.Reply> reply) {
        if (!forChange.equals(change)) {
            return;
        }
        boolean usable = reply.isRight()
                && reply.get() instanceof StoreMessages.KeysPage answer
                && answer.store().equals(voter)
                && answer.epoch() == forChange.epoch();
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
            requestPage(forChange, voter, records.get(records.size() - 1).key(), records);
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
