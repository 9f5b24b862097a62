package ridgemill.cdn.registry;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ridgemill.cdn.instances.Instance;
import ridgemill.cdn.instances.InstanceTable;
import ridgemill.cdn.membership.CacheNode;
import ridgemill.cdn.membership.ClusterMembers;
import ridgemill.cdn.membership.Fleet;
import ridgemill.cdn.membership.FleetPosition;
import ridgemill.cdn.wire.Link;
import ridgemill.cdn.wire.RegistryMessages;
import ridgemill.gateway.net.Clock;

/**
 * What edge proxies and shared caches are told: a snapshot when they subscribe, then numbered news of instances that changed. Each news also
 * holds the core machines, the voters, who shares the services' bounds and the instances that are silent, as they are then.
 */
final class ProxyUpdates {

    /** Heartbeat intervals without a heartbeat after which an instance counts as silent. */
    private static final double UNRESPONSIVE_AFTER_INTERVALS = 3.4;
    /** Heartbeat intervals after its start in which a registry has heard each instance that lives. */
    private static final double COMPLETE_AFTER_INTERVALS = 2.0;

    /** The program whose processes share the bounds of services as edge proxies. */
    private static final String PROXY = "proxy";
    /** Silence of a shared cache's link after which nobody is sent there, in milliseconds. */
    private static final long CACHE_IDLE_LIMIT_MS = 3_000;

    private final ClusterMembers members;
    private final InstanceTable instances;
    private final Subscribers subscribers;
    private final Clock clock;
    private final double unresponsiveAfterMs;
    private final double completeAfterMs;
    private double startedAtMs;
    private boolean complete;
    private List<String> unresponsive = List.of();
    private List<String> lastProxies = List.of();
    private List<CacheNode> lastCaches = List.of();
    private final Map<Link, CacheNode> caches = new HashMap<>();

    /**
     * News without subscribers.
     *
     * @param lifeId names this life of the registry, in which the numbers of news count
     * @param heartbeatIntervalMs how often instances send heartbeats, in milliseconds
     */
    ProxyUpdates(
            String lifeId, ClusterMembers members, InstanceTable instances, Clock clock, long heartbeatIntervalMs) {
        this.members = members;
        this.instances = instances;
        this.subscribers = new Subscribers(lifeId);
        this.clock = clock;
        this.unresponsiveAfterMs = UNRESPONSIVE_AFTER_INTERVALS * heartbeatIntervalMs;
        this.completeAfterMs = COMPLETE_AFTER_INTERVALS * heartbeatIntervalMs;
    }

    /** The registry takes heartbeats from now on: how long it has done so decides what it can know. */
    void markStarted() {
        startedAtMs = clock.now();
    }

    /** The names of the connected proxies. */
    List<String> proxyNames() {
        return subscribers.links().stream()
                .filter(link -> link.peer().program().equals(PROXY))
                .map(link -> link.peer().nodeName())
                .toList();
    }

    /** Sends a proxy all that is known, and news from now on. */
    void subscribe(Link link) {
        if (link.peer().program().equals(PROXY)) {
            members.recordProxy(link.peer().nodeName(), clock.now());
        }
        subscribers.add(link, snapshot(link));
    }

    /** A shared cache may be read from as long as its link is held and heard. */
    void announceCache(Link link, CacheNode cache) {
        caches.put(link, cache);
        refresh();
    }

    /** A proxy has carried out the news up to a number. */
    void acknowledged(Link link, long number) {
        subscribers.acknowledged(link, number);
    }

    /** Forgets a link that has ended; it may be of no proxy. */
    void closed(Link link) {
        subscribers.remove(link);
        if (caches.remove(link) != null) {
            refresh();
        }
    }

    /** Runs a task once all connected proxies have carried out all news so far. */
    void whenAcknowledged(Runnable task) {
        subscribers.whenAcknowledged(task);
    }

    /** Tells all connected proxies of instances that changed; with none, of what else has changed. */
    void push(List<Instance> changed) {
        long number = subscribers.nextNumber();
        List<String> proxies = members.proxies(clock.now());
        List<CacheNode> cachesNow = liveCaches();
        subscribers.push(link -> new RegistryMessages.Update(number, overview(link, proxies, cachesNow, changed)));
    }

    private RegistryMessages.Snapshot snapshot(Link link) {
        List<Instance> all = List.copyOf(instances.all());
        RegistryMessages.Overview overview = overview(link, members.proxies(clock.now()), liveCaches(), all);
        return new RegistryMessages.Snapshot(subscribers.incarnationId(), subscribers.lastNumber(), overview);
    }

    private RegistryMessages.Overview overview(
            Link link, List<String> proxies, List<CacheNode> cachesNow, List<Instance> told) {
        int rank = Math.max(0, Collections.binarySearch(proxies, link.peer().nodeName()));
        FleetPosition position = new FleetPosition(Math.max(1, proxies.size()), rank);
        return new RegistryMessages.Overview(
                complete, members.coreHosts(), members.voters(), new Fleet(position, cachesNow), told, unresponsive);
    }

    /** The shared caches whose links are not silent: one that stands still is not to be read from. */
    private List<CacheNode> liveCaches() {
        List<CacheNode> live = new ArrayList<>();
        caches.forEach((link, cache) -> {
            if (link.idleMs() <= CACHE_IDLE_LIMIT_MS) {
                live.add(cache);
            }
        });
        live.sort(Comparator.comparing(CacheNode::id));
        return live;
    }

    /** Sees who is silent, how many proxies there are and whether all instances are known; tells it if it has changed. */
    void refresh() {
        double now = clock.now();
        double runningMs = now - startedAtMs;
        boolean settledNow = complete || runningMs > completeAfterMs;
        // An instance that was heard in an earlier life only is not silent before this life could have heard it.
        List<String> silentNow =
                runningMs > unresponsiveAfterMs ? instances.unresponsive(unresponsiveAfterMs, now) : List.of();
        List<String> proxies = members.proxies(now);
        List<CacheNode> cachesNow = liveCaches();
        boolean sameFleet = proxies.equals(lastProxies) && cachesNow.equals(lastCaches);
        if (!silentNow.equals(unresponsive) || !sameFleet || settledNow != complete) {
            complete = settledNow;
            unresponsive = silentNow;
            lastProxies = proxies;
            lastCaches = cachesNow;
            push(List.of());
        }
    }
}
