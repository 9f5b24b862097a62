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
 * Sends the cluster state to edge proxies and shared caches: a snapshot when they subscribe, then numbered updates with
 * the changed instances. Each update also contains the current core machines, the voters, the processes that share the
 * bounds of services, and the unresponsive instances.
 */
final class ProxyUpdates {

    /** An instance is unresponsive after this many heartbeat intervals without a heartbeat. */
    private static final double UNRESPONSIVE_AFTER_INTERVALS = 3.4;
    /** A registry has received a heartbeat of each live instance after this many heartbeat intervals from its start. */
    private static final double COMPLETE_AFTER_INTERVALS = 2.0;

    /** The program name of edge proxies, which share the bounds of services. */
    private static final String PROXY = "proxy";
    /** A shared cache whose link was idle for longer is no longer listed, in milliseconds. */
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
     * Creates an object without subscribers.
     *
     * @param incarnationId identifies this incarnation of the registry; update numbers are valid within it
     * @param heartbeatIntervalMs how often instances send heartbeats, in milliseconds
     */
    ProxyUpdates(
            String incarnationId,
            ClusterMembers members,
            InstanceTable instances,
            Clock clock,
            long heartbeatIntervalMs) {
        this.members = members;
        this.instances = instances;
        this.subscribers = new Subscribers(incarnationId);
        this.clock = clock;
        this.unresponsiveAfterMs = UNRESPONSIVE_AFTER_INTERVALS * heartbeatIntervalMs;
        this.completeAfterMs = COMPLETE_AFTER_INTERVALS * heartbeatIntervalMs;
    }

    /**
     * Records that the registry accepts heartbeats from now on. The time since then determines which instances it can
     * know.
     */
    void markStarted() {
        startedAtMs = clock.now();
    }

    /** Returns the names of the connected proxies. */
    List<String> proxyNames() {
        return subscribers.links().stream()
                .filter(link -> link.peer().program().equals(PROXY))
                .map(link -> link.peer().nodeName())
                .toList();
    }

    /** Sends a snapshot to the link and all later updates. */
    void subscribe(Link link) {
        if (link.peer().program().equals(PROXY)) {
            members.recordProxy(link.peer().nodeName(), clock.now());
        }
        subscribers.add(link, snapshot(link));
    }

    /** Adds a shared cache. It is listed as long as its link is open and not idle. */
    void announceCache(Link link, CacheNode cache) {
        caches.put(link, cache);
        refresh();
    }

    /** Records that a subscriber has applied the updates up to a number. */
    void acknowledged(Link link, long number) {
        subscribers.acknowledged(link, number);
    }

    /** Removes a closed link, which may not be a subscriber. */
    void closed(Link link) {
        subscribers.remove(link);
        if (caches.remove(link) != null) {
            refresh();
        }
    }

    /** Runs a task once all connected subscribers have applied all updates sent so far. */
    void whenAcknowledged(Runnable task) {
        subscribers.whenAcknowledged(task);
    }

    /** Sends an update to all subscribers. The list of changed instances is empty if only other state has changed. */
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
            Link link, List<String> proxies, List<CacheNode> cachesNow, List<Instance> listedInstances) {
        int rank = Math.max(0, Collections.binarySearch(proxies, link.peer().nodeName()));
        FleetPosition position = new FleetPosition(Math.max(1, proxies.size()), rank);
        return new RegistryMessages.Overview(
                complete,
                members.coreHosts(),
                members.voters(),
                new Fleet(position, cachesNow),
                listedInstances,
                unresponsive);
    }

    /** Returns the shared caches whose links are not idle. A paused cache must not be read from. */
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

    /**
     * Determines the unresponsive instances, the proxies, the shared caches and whether all instances are known. Sends
     * an update if any of this has changed.
     */
    void refresh() {
        double now = clock.now();
        double runningMs = now - startedAtMs;
        boolean completeNow = complete || runningMs > completeAfterMs;
        // An instance known only from an earlier incarnation of the registry is not reported before this one could have
        // received its heartbeat.
        List<String> unresponsiveNow =
                runningMs > unresponsiveAfterMs ? instances.unresponsive(unresponsiveAfterMs, now) : List.of();
        List<String> proxies = members.proxies(now);
        List<CacheNode> cachesNow = liveCaches();
        boolean sameFleet = proxies.equals(lastProxies) && cachesNow.equals(lastCaches);
        if (!unresponsiveNow.equals(unresponsive) || !sameFleet || completeNow != complete) {
            complete = completeNow;
            unresponsive = unresponsiveNow;
            lastProxies = proxies;
            lastCaches = cachesNow;
            push(List.of());
        }
    }
}
