package ridgemill.cdn.registry;

import java.util.ArrayList;
import java.util.List;
import ridgemill.cdn.instances.Instance;
import ridgemill.cdn.instances.InstanceTable;
import ridgemill.cdn.membership.ClusterMembers;
import ridgemill.cdn.wire.Link;
import ridgemill.cdn.wire.LinkListener;
import ridgemill.cdn.wire.Message;
import ridgemill.cdn.wire.RegistryMessages;
import ridgemill.gateway.net.Clock;

/** Handles the messages that proxies, shared caches and other registries send over links that they opened. */
final class IncomingLinks implements LinkListener {

    private final ClusterMembers members;
    private final InstanceTable instances;
    private final ProxyUpdates proxyUpdates;
    private final PeerRegistries peers;
    private final VotingStores stores;
    private final DepartureLog departures;
    private final Clock clock;

    IncomingLinks(
            ClusterMembers members,
            InstanceTable instances,
            ProxyUpdates proxyUpdates,
            PeerRegistries peers,
            VotingStores stores,
            DepartureLog departures,
            Clock clock) {
        this.members = members;
        this.instances = instances;
        this.proxyUpdates = proxyUpdates;
        this.peers = peers;
        this.stores = stores;
        this.departures = departures;
        this.clock = clock;
    }

    @Override
    public void opened(Link link) {
        if (link.peer().program().equals("registry")) {
            peers.addKnownHosts(List.of(link.peer().address()));
        }
    }

    @Override
    public void received(Link link, Message message) {
        if (message instanceof RegistryMessages.Subscribe) {
            proxyUpdates.subscribe(link);
        } else if (message instanceof RegistryMessages.AnnounceCache offer) {
            proxyUpdates.announceCache(link, offer.cache());
        } else if (message instanceof RegistryMessages.UpdateAcknowledged acknowledged) {
            proxyUpdates.acknowledged(link, acknowledged.number());
        } else if (message instanceof RegistryMessages.PeerUpdate update) {
            List<Instance> merged = merge(update);
            departures.save(merged, saved -> {
                if (saved) {
                    link.send(new RegistryMessages.PeerUpdateMerged(update.callId()));
                }
            });
        } else if (message instanceof RegistryMessages.PeerHeartbeats peerHeartbeats) {
            for (RegistryMessages.Heartbeat heartbeat : peerHeartbeats.heartbeats()) {
                instances.recordHeartbeat(heartbeat.instanceId(), heartbeat.sequence(), clock.now());
            }
        }
    }

    /**
     * Merges an update of another registry. New instance states are sent to the proxies. Forwarding to other registries
     * is not needed, because the sender updates them itself. Returns the current records of the instances in the update
     * and of those that changed.
     */
    private List<Instance> merge(RegistryMessages.PeerUpdate update) {
        peers.addKnownHosts(update.registries());
        stores.updateVoters(update.voters());
        for (String proxy : update.proxies()) {
            members.recordProxy(proxy, clock.now());
        }
        List<Instance> changed = new ArrayList<>();
        for (Instance instance : update.instances()) {
            changed.addAll(instances.merge(instance, clock.now()));
        }
        if (!changed.isEmpty()) {
            proxyUpdates.push(changed);
        }
        List<Instance> merged = new ArrayList<>(changed);
        update.instances().forEach(instance -> merged.add(instances.get(instance.id())));
        return merged;
    }

    @Override
    public void closed(Link link) {
        proxyUpdates.closed(link);
    }
}
