package ridgemill.cdn.store;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import ridgemill.cdn.keys.KeyMerge;
import ridgemill.cdn.keys.KeyRecord;
import ridgemill.cdn.wire.CallFailure;
import ridgemill.cdn.wire.Message;
import ridgemill.cdn.wire.StoreMessages;

/**
 * Brings a voter that lost its disk back: takes all items and key records of enough other voters, see {@link
 * ridgemill.cdn.quorum.Quorum#recoveryAnswers}, merges them and writes them, and only then lets the replica vote. On the
 * event loop.
 */
final class DiskRecovery {

    /**
     * How long after the start nothing is taken. A caller that counted this voter before the loss may have its call at
     * another voter still under way; calls of the register end within this time, so what it wrote is there afterwards.
     */
    static final long SETTLE_MS = 3_000;

    private static final long CALL_TIMEOUT_MS = 2_000;

    private final StoreReplica replica;
    private final StorePeers peers;
    private final String ownAddress;
    private final long startMs;
    private final Map<String, List<KeyRecord>> taken = new HashMap<>();
    private final Set<String> asking = new HashSet<>();
    private boolean writing;
    private boolean done;

    DiskRecovery(StoreReplica replica, StorePeers peers, String ownAddress) {
        this.replica = replica;
        this.peers = peers;
        this.ownAddress = ownAddress;
        this.startMs = replica.nowMs();
    }

    /** Goes on with what can be done now; called until it returns true. */
    boolean step() {
        if (done || replica.quorum().isKnown() && !replica.quorum().isVoter(ownAddress)) {
            return true;
        }
        if (!replica.quorum().isKnown() || replica.nowMs() - startMs < SETTLE_MS) {
            return false;
        }
        for (String voter : replica.quorum().others(ownAddress)) {
            if (!taken.containsKey(voter) && asking.add(voter)) {
                ask(voter, "", new ArrayList<>());
            }
        }
        finishIfEnough();
        return false;
    }

    private void ask(String voter, String afterKey, List<KeyRecord> records) {
        long digest = replica.items().digest();
        peers.to(voter)
                .call(
                        callId -> new StoreMessages.PullState(callId, digest, true, afterKey),
                        CALL_TIMEOUT_MS,
                        reply -> take(voter, records, reply));
    }

    private void take(String voter, List<KeyRecord> records, Either<CallFailure, Message.Reply> reply) {
        if (reply.isLeft() || !(reply.get() instanceof StoreMessages.StatePage page) || !page.complete()) {
            asking.remove(voter);
            return;
        }
        if (!page.items().isEmpty()) {
            replica.mergeItems(page.items(), written -> {});
        }
        records.addAll(page.records());
        if (page.lastPage()) {
            asking.remove(voter);
            taken.put(voter, records);
            finishIfEnough();
        } else {
            ask(voter, records.get(records.size() - 1).key(), records);
        }
    }

    private void finishIfEnough() {
        if (writing || taken.size() < replica.quorum().recoveryAnswers()) {
            return;
        }
        writing = true;
        replica.recovered(merged(), written -> {
            writing = false;
            done = written;
        });
    }

    private List<KeyRecord> merged() {
        Map<String, KeyMerge> merges = new TreeMap<>();
        for (List<KeyRecord> records : taken.values()) {
            for (KeyRecord keyRecord : records) {
                merges.computeIfAbsent(keyRecord.key(), KeyMerge::new).add(keyRecord);
            }
        }
        return merges.values().stream().map(KeyMerge::outcome).toList();
    }
}
