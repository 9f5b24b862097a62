package ridgemill.cdn.registry;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import ridgemill.cdn.instances.Instance;
import ridgemill.cdn.instances.InstanceState;
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
    private final DepartureLog departures;
    private final ProxyUpdates proxyUpdates;
    private final EventLoop loop;
    private final Clock clock;
    private final Map<String, Double> changedAtMs = new HashMap<>();
    private final Map<String, Long> newHeartbeats = new HashMap<>();
    /** The departed states that a majority of the registries is known to have on disk, by instance. */
    private final Map<String, InstanceState> confirmedDepartures = new HashMap<>();

    InstanceReports(
            InstanceTable instances,
            ClusterMembers members,
            PeerRegistries peers,
            DepartureLog departures,
            ProxyUpdates proxyUpdates,
            EventLoop loop,
            Clock clock) {
        this.instances = instances;
        this.members = members;
        this.peers = peers;
        this.departures = departures;
        this.proxyUpdates = proxyUpdates;
        this.loop = loop;
        this.clock = clock;
    }

    /**
     * Accepts a report of an instance. The callback receives whether the request may be acknowledged: at once for a
     * heartbeat that changes nothing, otherwise once the connected proxies and a majority of the registries have the
     * change. That an instance leaves is acknowledged only if a majority has it on disk, however often it is reported.
     */
    void accept(Instance instance, Consumer<Boolean> callback) {
        newHeartbeats.merge(instance.id(), instance.sequence(), Math::max);
        List<Instance> changed = instances.merge(instance, clock.now());
        Instance newest = instances.get(instance.id());
        if (changed.isEmpty() && isConfirmed(newest)) {
            callback.accept(true);
            return;
        }
        publish(changed);
        new Confirmation(peers, departures, proxyUpdates, members, confirmed -> {
                    if (confirmed && newest.state() != InstanceState.READY) {
                        confirmedDepartures.put(newest.id(), newest.state());
                    }
                    callback.accept(confirmed);
                })
                .begin(List.of(newest), loop);
    }

    private boolean isConfirmed(Instance newest) {
        return newest.state() == InstanceState.READY
                ? !changedAtMs.containsKey(newest.id())
                : confirmedDepartures.get(newest.id()) == newest.state();
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
        // Instances that lost their address are gone too; nobody waits for them.
        departures.save(changed, ignored -> {});
    }

    /** Returns the instances whose changes are to be resent. */
    List<Instance> recentChanges() {
        double now = clock.now();
        changedAtMs.values().removeIf(changedAt -> now - changedAt > RESEND_WINDOW_MS);
        confirmedDepartures.keySet().removeIf(id -> instances.get(id) == null);
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
