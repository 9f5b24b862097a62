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

/** The links to the registries on the other core machines, and what they are told over them. */
final class PeerRegistries implements LinkListener {

    private final String ownAddress;
    private final int port;
    private final LinkOpener opener;
    private final ClusterMembers members;
    private final InstanceTable instances;
    private final ProxyUpdates proxyUpdates;
    private final Map<String, ReconnectingLink> links = new HashMap<>();

    /**
     * Without links until {@link #connect}.
     *
     * @param port the port at which each registry takes links
     */
    PeerRegistries(
            String ownAddress,
            int port,
            LinkOpener opener,
            ClusterMembers members,
            InstanceTable instances,
            ProxyUpdates news) {
        this.ownAddress = ownAddress;
        this.port = port;
        this.opener = opener;
        this.members = members;
        this.instances = instances;
        this.proxyUpdates = news;
    }

    /** Opens the links that are missing to known core machines. */
    void connect() {
        for (String host : members.coreHosts()) {
            if (!host.equals(ownAddress) && !links.containsKey(host)) {
                links.put(host, opener.open(host, port, this));
            }
        }
    }

    /** Core machines were heard of: connects to new ones and tells the proxies of them. */
    void addKnownHosts(List<String> hosts) {
        if (members.addCoreHosts(hosts)) {
            connect();
            proxyUpdates.push(List.of());
        }
    }

    /** How many other registries are known, whether they can be reached or not. */
    int count() {
        return links.size();
    }

    /** Tells all others of instances and heartbeats, without waiting for their answers. */
    void broadcast(List<Instance> changed, List<RegistryMessages.Heartbeat> beats) {
        for (ReconnectingLink link : links.values()) {
            link.call(callId -> update(callId, changed), Confirmation.TIMEOUT_MS, ignored -> {});
            if (!beats.isEmpty()) {
                link.send(new RegistryMessages.PeerHeartbeats(beats));
            }
        }
    }

    /** Tells all others of instances; the callback is told of each of their machines once whether it has merged them. */
    void confirm(List<Instance> changed, BiConsumer<String, Boolean> callback) {
        Map.copyOf(links)
                .forEach((host, link) -> link.call(
                        callId -> update(callId, changed),
                        Confirmation.TIMEOUT_MS,
                        result -> callback.accept(host, result.isRight())));
    }

    /** The IP address of this registry's machine. */
    String ownAddress() {
        return ownAddress;
    }

    private RegistryMessages.PeerUpdate update(long callId, List<Instance> changed) {
        return new RegistryMessages.PeerUpdate(
                callId, members.coreHosts(), members.voters(), proxyUpdates.proxyNames(), changed);
    }

    /** A registry that could not be reached may have missed anything: it is told all. */
    @Override
    public void opened(Link link) {
        List<Instance> all = List.copyOf(instances.all());
        link.call(callId -> update(callId, all), Confirmation.TIMEOUT_MS, ignored -> {});
    }

    @Override
    public void received(Link link, Message message) {}

    @Override
    public void closed(Link link) {}
}
