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
 * Waits for a bounded time until all reachable proxies and registries have a change of an instance's state. The change
 * is confirmed if the registries on a majority of the voting machines have it by then, on disk if the instance leaves.
 * Proxies do not affect the result, because they may be unreachable.
 */
final class Confirmation {

    /** The maximum delay of the response to a change of an instance's state, in milliseconds. */
    static final long TIMEOUT_MS = 600;

    private final PeerRegistries peers;
    private final DepartureLog departures;
    private final ProxyUpdates proxyUpdates;
    private final ClusterMembers members;
    private final Consumer<Boolean> callback;
    /** The addresses of the machines whose registries have the change. */
    private final Set<String> confirmedRegistries = new HashSet<>();

    private int pendingReplies;
    private boolean proxiesAcknowledged;
    private boolean done;

    /**
     * Creates a confirmation that is started by {@link #begin}. The callback receives once whether the change is
     * confirmed.
     */
    Confirmation(
            PeerRegistries peers,
            DepartureLog departures,
            ProxyUpdates proxyUpdates,
            ClusterMembers members,
            Consumer<Boolean> callback) {
        this.peers = peers;
        this.departures = departures;
        this.proxyUpdates = proxyUpdates;
        this.members = members;
        this.callback = callback;
    }

    /** Sends the change to the other registries. The update to the proxies has already been sent. */
    void begin(List<Instance> change, EventLoop loop) {
        pendingReplies = peers.count() + 1;
        peers.confirm(change, this::onReply);
        departures.save(change, saved -> onReply(peers.ownAddress(), saved));
        proxyUpdates.whenAcknowledged(() -> {
            proxiesAcknowledged = true;
            finishIfComplete();
        });
        loop.schedule(this::finish, TIMEOUT_MS, TimeUnit.MILLISECONDS);
        finishIfComplete();
    }

    /** A registry, or this one, has the change or has failed to record it. */
    private void onReply(String host, boolean recorded) {
        if (recorded) {
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
