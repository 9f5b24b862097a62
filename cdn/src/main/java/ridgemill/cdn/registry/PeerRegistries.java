package ridgemill.cdn.registry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import ridgemill.cdn.instances.Instance;
import ridgemill.cdn.instances.InstanceTable;
import ridgemill.cdn.membership.ClusterMembers;
import ridgemill.cdn.wire.Link;
import ridgemill.cdn.wire.LinkListener;
import ridgemill.cdn.wire.Message;
import ridgemill.cdn.wire.ReconnectingLink;
import ridgemill.cdn.wire.RegistryMessages;

/** The links to the registries on the other core machines, and the updates that are sent over them. */
final class PeerRegistries implements LinkListener {

    private final String ownAddress;
    private final int port;
    private final LinkOpener opener;
    private final ClusterMembers members;
    private final InstanceTable instances;
    private final ProxyUpdates proxyUpdates;
    private final Map<String, ReconnectingLink> links = new HashMap<>();

    /**
     * Creates an object that has no links until {@link #connect} is called.
     *
     * @param port the port at which each registry accepts links
     */
    PeerRegistries(
            String ownAddress,
            int port,
            LinkOpener opener,
            ClusterMembers members,
            InstanceTable instances,
            ProxyUpdates proxyUpdates) {
        this.ownAddress = ownAddress;
        this.port = port;
        this.opener = opener;
        this.members = members;
        this.instances = instances;
        this.proxyUpdates = proxyUpdates;
    }

    /** Opens missing links to known core machines. */
    void connect() {
        for (String host : members.coreHosts()) {
            if (!host.equals(ownAddress) && !links.containsKey(host)) {
                links.put(host, opener.open(host, port, this));
            }
        }
    }

    /** Adds core machines. Connects to new ones and announces them to the proxies. */
    void addKnownHosts(List<String> hosts) {
        if (members.addCoreHosts(hosts)) {
            connect();
            proxyUpdates.push(List.of());
        }
    }

    /** Returns the number of known other registries, reachable or not. */
    int count() {
        return links.size();
    }

    /** Sends instances and heartbeats to all other registries, without waiting for their replies. */
    void broadcast(List<Instance> changed, List<RegistryMessages.Heartbeat> heartbeats) {
        for (ReconnectingLink link : links.values()) {
            link.call(callId -> buildUpdate(callId, changed), Confirmation.TIMEOUT_MS, ignored -> {});
            if (!heartbeats.isEmpty()) {
                link.send(new RegistryMessages.PeerHeartbeats(heartbeats));
            }
        }
    }

    /**
     * Sends instances to all other registries. The callback receives once for each machine whether it has merged them.
     */
    void confirm(List<Instance> changed, BiConsumer<String, Boolean> callback) {
        Map.copyOf(links)
                .forEach((host, link) -> link.call(
                        callId -> buildUpdate(callId, changed),
                        Confirmation.TIMEOUT_MS,
                        result -> callback.accept(host, result.isRight())));
    }

    /** Returns the IP address of this registry's machine. */
    String ownAddress() {
        return ownAddress;
    }

    private RegistryMessages.PeerUpdate buildUpdate(long callId, List<Instance> changed) {
        return new RegistryMessages.PeerUpdate(
                callId, members.coreHosts(), members.voters(), proxyUpdates.proxyNames(), changed);
    }

    /** Sends all instances, because a registry that was unreachable may have missed any change. */
    @Override
    public void opened(Link link) {
        List<Instance> all = List.copyOf(instances.all());
        link.call(callId -> buildUpdate(callId, all), Confirmation.TIMEOUT_MS, ignored -> {});
    }

    @Override
    public void received(Link link, Message message) {}

    @Override
    public void closed(Link link) {}
}
