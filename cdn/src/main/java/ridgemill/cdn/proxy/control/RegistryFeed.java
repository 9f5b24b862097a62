package ridgemill.cdn.proxy.control;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import ridgemill.cdn.instances.Instance;
import ridgemill.cdn.membership.CacheNode;
import ridgemill.cdn.membership.Fleet;
import ridgemill.cdn.quorum.VoterSet;
import ridgemill.cdn.wire.Link;
import ridgemill.cdn.wire.LinkListener;
import ridgemill.cdn.wire.Message;
import ridgemill.cdn.wire.ReconnectingLink;
import ridgemill.cdn.wire.RegistryMessages;

/** Follows the numbered updates of one registry. */
final class RegistryFeed implements LinkListener {

    /** Receives the updates of a registry. */
    interface Receiver {

        /** The registry reported new or changed instances; its other state is read from the feed. */
        void instancesReceived(List<Instance> instances);

        /** The registry reported core machines and voters. */
        void membersReceived(List<String> coreHosts, VoterSet voters);

        /** The connection to a registry was lost. */
        void registryLost();
    }

    private final Receiver receiver;
    private ReconnectingLink link;
    private Set<String> unresponsive = Set.of();
    private boolean settled;
    private boolean connected;
    private Fleet fleet = Fleet.ALONE;
    private Optional<CacheNode> announcedCache = Optional.empty();

    RegistryFeed(Receiver receiver) {
        this.receiver = receiver;
    }

    void start(ReconnectingLink newLink) {
        link = newLink;
        newLink.start();
    }

    /** Announces this process as a shared cache, now and after each reconnection to the registry. */
    void announce(CacheNode cache) {
        announcedCache = Optional.of(cache);
        link.send(new RegistryMessages.AnnounceCache(cache));
    }

    /** Closes the connection permanently. */
    void close() {
        link.close();
    }

    /** Whether the registry is connected and settled: it has run for long enough to know all instances. */
    boolean isSettled() {
        return connected && settled && link.isOpen();
    }

    /** Whether the registry is connected and has sent its state. */
    boolean isConnected() {
        return connected && link.isOpen();
    }

    /** Whether the registry reports an instance as unresponsive. */
    boolean isUnresponsive(String instanceId) {
        return unresponsive.contains(instanceId);
    }

    /** The processes that share the services' limits, as last reported by the registry. */
    Fleet fleet() {
        return fleet;
    }

    @Override
    public void opened(Link opened) {
        opened.send(new RegistryMessages.Subscribe("", 0));
        announcedCache.ifPresent(cache -> opened.send(new RegistryMessages.AnnounceCache(cache)));
    }

    @Override
    public void received(Link from, Message message) {
        if (message instanceof RegistryMessages.Snapshot snapshot) {
            connected = true;
            apply(from, snapshot.number(), snapshot.overview());
        } else if (message instanceof RegistryMessages.Update update) {
            apply(from, update.number(), update.overview());
        }
    }

    private void apply(Link from, long number, RegistryMessages.Overview overview) {
        settled = overview.complete();
        unresponsive = Set.copyOf(overview.unresponsive());
        fleet = overview.fleet();
        receiver.membersReceived(overview.registries(), overview.voters());
        receiver.instancesReceived(overview.instances());
        from.send(new RegistryMessages.UpdateAcknowledged(number));
    }

    @Override
    public void closed(Link ended) {
        connected = false;
        receiver.registryLost();
    }
}
