package ridgemill.cdn.registry;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import ridgemill.cdn.instances.Instance;
import ridgemill.cdn.instances.InstanceTable;
import ridgemill.cdn.membership.ClusterMembers;
import ridgemill.cdn.wire.RegistryMessages;
import ridgemill.gateway.net.Clock;

/**
 * Accepts the reports of instances to this registry and tracks what has to be sent to the other registries. New
 * heartbeats are sent once. Changes are resent for a while, because a registry may have missed them.
 */
final class InstanceReports {

    private static final System.Logger LOG = System.getLogger(InstanceReports.class.getName());

    /** How long a changed instance is resent to the other registries, in milliseconds. */
    private static final double RESEND_WINDOW_MS = 3_000;

    private final InstanceTable instances;
    private final ClusterMembers members;
    private final PeerRegistries peers;
    private final ProxyUpdates proxyUpdates;
    private final EventLoop loop;
    private final Clock clock;
    private final Map<String, Double> changedAtMs = new HashMap<>();
    private final Map<String, Long> newHeartbeats = new HashMap<>();

    InstanceReports(
            InstanceTable instances,
            ClusterMembers members,
            PeerRegistries peers,
            ProxyUpdates proxyUpdates,
            EventLoop loop,
            Clock clock) {
        this.instances = instances;
        this.members = members;
        this.peers = peers;
        this.proxyUpdates = proxyUpdates;
        this.loop = loop;
        this.clock = clock;
    }

    /**
     * Accepts a report of an instance. The callback receives whether the request may be acknowledged: at once for a
     * heartbeat that changes nothing, otherwise once the connected proxies and a majority of the registries have the
     * change.
     */
    void accept(Instance instance, Consumer<Boolean> callback) {
        newHeartbeats.merge(instance.id(), instance.sequence(), Math::max);
        List<Instance> changed = instances.merge(instance, clock.now());
        boolean changedRecently = changedAtMs.containsKey(instance.id());
        if (changed.isEmpty() && !changedRecently) {
            callback.accept(true);
            return;
        }
        publish(changed);
        Instance newest = instances.get(instance.id());
        new Confirmation(peers, proxyUpdates, members, callback)
                .begin(newest == null ? List.of() : List.of(newest), loop);
    }

    private void publish(List<Instance> changed) {
        if (changed.isEmpty()) {
            return;
        }
        for (Instance instance : changed) {
            changedAtMs.put(instance.id(), clock.now());
            LOG.log(
                    System.Logger.Level.INFO,
                    "event=instance id=" + instance.id() + " service=" + instance.service() + " state="
                            + instance.state());
        }
        proxyUpdates.push(changed);
    }

    /** Returns the instances whose changes are to be resent. */
    List<Instance> recentChanges() {
        double now = clock.now();
        changedAtMs.values().removeIf(changedAt -> now - changedAt > RESEND_WINDOW_MS);
        List<Instance> changed = new ArrayList<>();
        for (String id : changedAtMs.keySet()) {
            Instance instance = instances.get(id);
            if (instance != null) {
                changed.add(instance);
            }
        }
        return changed;
    }

    /** Returns and clears the newest heartbeat of each instance that was received since the previous call. */
    List<RegistryMessages.Heartbeat> drainNewHeartbeats() {
        List<RegistryMessages.Heartbeat> heartbeats = new ArrayList<>();
        newHeartbeats.forEach((id, sequence) -> heartbeats.add(new RegistryMessages.Heartbeat(id, sequence)));
        newHeartbeats.clear();
        return heartbeats;
    }
}
