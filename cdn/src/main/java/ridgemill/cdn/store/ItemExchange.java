package ridgemill.cdn.store;

import io.vavr.control.Either;
import java.util.List;
import ridgemill.cdn.quorum.Quorum;
import ridgemill.cdn.wire.CallFailure;
import ridgemill.cdn.wire.HeldLink;
import ridgemill.cdn.wire.Message;
import ridgemill.cdn.wire.StoreMessages;

/**
 * Brings the items of the replicas together: compares them with one other voter in turn and takes what is newer there.
 * A store that does not know the voters asks the seeds and learns them. On the event loop.
 */
final class ItemExchange {

    private static final long CALL_TIMEOUT_MS = 2_000;

    private final StoreReplica replica;
    private final StorePeers peers;
    private final String ownAddress;
    private final List<String> seedHosts;
    private int turn;

    ItemExchange(StoreReplica replica, StorePeers peers, String ownAddress, List<String> seedHosts) {
        this.replica = replica;
        this.peers = peers;
        this.ownAddress = ownAddress;
        this.seedHosts =
                seedHosts.stream().filter(host -> !host.equals(ownAddress)).toList();
    }

    /** Compares with the next store that can be reached. */
    void next() {
        List<String> partners = replica.quorum().isKnown() ? replica.quorum().others(ownAddress) : seedHosts;
        for (int i = 0; i < partners.size(); i++) {
            turn = (turn + 1) % partners.size();
            HeldLink link = peers.to(partners.get(turn));
            if (link.isOpen()) {
                long digest = replica.items().digest();
                link.call(
                        callId -> new StoreMessages.PullState(callId, digest, false, ""), CALL_TIMEOUT_MS, this::take);
                return;
            }
        }
    }

    private void take(Either<CallFailure, Message.Reply> reply) {
        if (reply.isRight() && reply.get() instanceof StoreMessages.StatePage page) {
            if (!replica.quorum().isKnown() && !page.voters().isEmpty()) {
                replica.learn(new Quorum(page.voters()));
            }
            if (!page.items().isEmpty()) {
                replica.mergeItems(page.items(), written -> {});
            }
        }
    }
}
