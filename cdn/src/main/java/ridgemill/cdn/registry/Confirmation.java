package ridgemill.cdn.registry;

import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import ridgemill.cdn.instances.Instance;
import ridgemill.cdn.membership.ClusterMembers;

/**
 * Waits until everybody that can be reached has a change of an instance's state, for a bounded time. The change is
 * confirmed if the registries on a majority of the voting machines have it by then, whatever the proxies say: they may be out of reach.
 */
final class Confirmation {

    /** How long a change of an instance's state may take to reach everybody before its call is answered. */
    static final long TIMEOUT_MS = 600;

    private final PeerRegistries peers;
    private final ProxyUpdates proxyUpdates;
    private final ClusterMembers members;
    private final Consumer<Boolean> callback;
    /** The machines whose registries have the change. */
    private final Set<String> confirmedRegistries = new HashSet<>();

    private int pendingReplies;
    private boolean proxiesAcknowledged;
    private boolean done;

    /** A confirmation that waits from {@link #begin} on. The callback is told once whether the change is confirmed. */
    Confirmation(PeerRegistries peers, ProxyUpdates news, ClusterMembers members, Consumer<Boolean> callback) {
        this.peers = peers;
        confirmedRegistries.add(peers.ownAddress());
        this.proxyUpdates = news;
        this.members = members;
        this.callback = callback;
    }

    /** Tells the other registries of the change; the news of it to the proxies are pushed already. */
    void begin(List<Instance> change, EventLoop loop) {
        pendingReplies = peers.count();
        peers.confirm(change, this::onPeerReply);
        proxyUpdates.whenAcknowledged(() -> {
            proxiesAcknowledged = true;
            finishIfComplete();
        });
        loop.schedule(this::finish, TIMEOUT_MS, TimeUnit.MILLISECONDS);
        finishIfComplete();
    }

    private void onPeerReply(String host, boolean merged) {
        if (merged) {
            confirmedRegistries.add(host);
        }
        pendingReplies--;
        finishIfComplete();
    }

    private void finishIfComplete() {
        if (proxiesAcknowledged && pendingReplies == 0) {
            finish();
        }
    }

    private void finish() {
        if (!done) {
            done = true;
            callback.accept(members.voters().hasQuorumOfAddresses(confirmedRegistries::contains));
        }
    }
}
