package ridgemill.cdn.registry;

import java.util.List;
import ridgemill.cdn.instances.Instance;
import ridgemill.cdn.instances.InstanceTable;
import ridgemill.cdn.membership.CoreMembers;
import ridgemill.cdn.wire.Link;
import ridgemill.cdn.wire.RegistryMessages;
import ridgemill.gateway.net.Clock;

/**
 * What edge proxies are told: a snapshot when they subscribe, then numbered news of instances that changed. Each news also
 * holds the core machines, the voters, the number of proxies and the instances that are silent, as they are then.
 */
final class ProxyNews {

    /** Heartbeat intervals without a heartbeat after which an instance counts as silent. */
    private static final double SILENT_INTERVALS = 3.4;
    /** Heartbeat intervals after its start in which a registry has heard each instance that lives. */
    private static final double SETTLE_INTERVALS = 2.0;

    private final CoreMembers members;
    private final InstanceTable instances;
    private final Subscribers subscribers;
    private final Clock clock;
    private final double silentAfterMs;
    private final double settledAfterMs;
    private double startedAtMs;
    private boolean settled;
    private List<String> silent = List.of();
    private int lastProxyCount;

    /**
     * News without subscribers.
     *
     * @param lifeId names this life of the registry, in which the numbers of news count
     * @param heartbeatIntervalMs how often instances send heartbeats, in milliseconds
     */
    ProxyNews(String lifeId, CoreMembers members, InstanceTable instances, Clock clock, long heartbeatIntervalMs) {
        this.members = members;
        this.instances = instances;
        this.subscribers = new Subscribers(lifeId);
        this.clock = clock;
        this.silentAfterMs = SILENT_INTERVALS * heartbeatIntervalMs;
        this.settledAfterMs = SETTLE_INTERVALS * heartbeatIntervalMs;
    }

    /** The registry takes heartbeats from now on: how long it has done so decides what it can know. */
    void started() {
        startedAtMs = clock.now();
    }

    /** The names of the connected proxies. */
    List<String> proxyNames() {
        return List.copyOf(subscribers.names());
    }

    /** Sends a proxy all that is known, and news from now on. */
    void subscribe(Link link) {
        members.proxyHeard(link.peer().nodeName(), clock.now());
        subscribers.add(link, snapshot());
    }

    /** A proxy has carried out the news up to a number. */
    void acknowledged(Link link, long number) {
        subscribers.acknowledged(link, number);
    }

    /** Forgets a link that has ended; it may be of no proxy. */
    void closed(Link link) {
        subscribers.remove(link);
    }

    /** Runs a task once all connected proxies have carried out all news so far. */
    void whenAcknowledged(Runnable task) {
        subscribers.whenAcknowledged(task);
    }

    /** Tells all connected proxies of instances that changed; with none, of what else has changed. */
    void push(List<Instance> changed) {
        subscribers.push(new RegistryMessages.News(subscribers.nextNumber(), overview(changed)));
    }

    private RegistryMessages.Snapshot snapshot() {
        List<Instance> all = List.copyOf(instances.all());
        return new RegistryMessages.Snapshot(subscribers.lifeId(), subscribers.number(), overview(all));
    }

    private RegistryMessages.Overview overview(List<Instance> told) {
        return new RegistryMessages.Overview(
                settled, members.coreHosts(), members.voters(), members.proxyCount(clock.now()), told, silent);
    }

    /** Sees who is silent, how many proxies there are and whether all instances are known; tells it if it has changed. */
    void refresh() {
        double now = clock.now();
        double runningMs = now - startedAtMs;
        boolean settledNow = settled || runningMs > settledAfterMs;
        // An instance that was heard in an earlier life only is not silent before this life could have heard it.
        List<String> silentNow = runningMs > silentAfterMs ? instances.silent(silentAfterMs, now) : List.of();
        int proxyCount = members.proxyCount(now);
        if (!silentNow.equals(silent) || proxyCount != lastProxyCount || settledNow != settled) {
            settled = settledNow;
            silent = silentNow;
            lastProxyCount = proxyCount;
            push(List.of());
        }
    }
}
