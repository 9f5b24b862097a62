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
 * Takes what instances say in calls to this registry, and keeps what the other registries are still to be told of it: new
 * heartbeats once, changes again for a while, as a registry may have missed them.
 */
final class InstanceReports {

    private static final System.Logger LOG = System.getLogger(InstanceReports.class.getName());

    /** For how long a changed instance is told again to the other registries, in milliseconds. */
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
            ProxyUpdates news,
            EventLoop loop,
            Clock clock) {
        this.instances = instances;
        this.members = members;
        this.peers = peers;
        this.proxyUpdates = news;
        this.loop = loop;
        this.clock = clock;
    }

    /**
     * Takes what an instance said. The callback is told whether the call may be acknowledged: at once for a heartbeat that
     * changes nothing, else once the connected proxies and a majority of the registries have the change.
     */
    void accept(Instance instance, Consumer<Boolean> callback) {
        newHeartbeats.merge(instance.id(), instance.sequence(), Math::max);
        List<Instance> changed = instances.merge(instance, clock.now());
        boolean changedLately = changedAtMs.containsKey(instance.id());
        if (changed.isEmpty() && !changedLately) {
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

    /** The instances whose changes are to be told again. */
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

    /** The newest heartbeat of each instance that was heard since the last call of this method. */
    List<RegistryMessages.Heartbeat> drainNewHeartbeats() {
        List<RegistryMessages.Heartbeat> beats = new ArrayList<>();
        newHeartbeats.forEach((id, sequence) -> beats.add(new RegistryMessages.Heartbeat(id, sequence)));
        newHeartbeats.clear();
        return beats;
    }
}
