package ridgemill.cdn.proxy.control;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import ridgemill.cdn.config.Item;
import ridgemill.cdn.config.ItemSet;
import ridgemill.cdn.config.RoutingTable;
import ridgemill.cdn.config.Service;
import ridgemill.cdn.configuration.ItemParser;
import ridgemill.cdn.instances.Instance;
import ridgemill.cdn.instances.InstanceState;
import ridgemill.cdn.instances.InstanceTable;
import ridgemill.cdn.membership.CacheNode;
import ridgemill.cdn.membership.ClusterMembers;
import ridgemill.cdn.membership.Fleet;
import ridgemill.cdn.membership.FleetPosition;
import ridgemill.cdn.purge.Purge;
import ridgemill.cdn.purge.PurgeCoverage;
import ridgemill.cdn.purge.PurgeHistory;
import ridgemill.cdn.purge.RecentPurge;
import ridgemill.cdn.quorum.Voter;
import ridgemill.cdn.quorum.VoterSet;
import ridgemill.cdn.settings.Settings;
import ridgemill.cdn.wire.LinkListener;
import ridgemill.cdn.wire.LinkMessages;
import ridgemill.cdn.wire.ReconnectingLink;
import ridgemill.cdn.wire.StoreMessages;
import ridgemill.gateway.net.Clock;
import ridgemill.gateway.net.SocketKind;

/**
 * The connections of an edge proxy or a shared cache to the control plane. It follows every registry and every voting
 * configuration store and merges the updates received from them. It keeps all received information for the lifetime of
 * the process, even while connections are lost. Everything runs on the proxy's event loop.
 */
public final class ControlClient implements ControlView, StoreFeed.Receiver, RegistryFeed.Receiver {

    private static final System.Logger LOG = System.getLogger(ControlClient.class.getName());

    /** How often each store is asked to confirm the purges received, so that a late or lost reply does not matter. */
    private static final long CONFIRMATIONS_PER_PURGE_DEADLINE = 4;

    private static final long MIN_CONFIRMATION_INTERVAL_MS = 100;

    private final Settings settings;
    private final EventLoop loop;
    private final SocketKind sockets;
    private final Clock clock;
    private final LinkMessages.Hello hello;
    private final ClusterMembers members = new ClusterMembers();
    private final Map<String, RegistryFeed> registries = new LinkedHashMap<>();
    private final Map<String, StoreFeed> stores = new LinkedHashMap<>();
    private final ItemSet items = new ItemSet();
    private final InstanceTable instances = new InstanceTable();
    private final PurgeCoverage coverage;
    private final PurgeHistory appliedPurges;
    private final List<ControlListener> listeners = new ArrayList<>();
    private final Map<String, List<Instance>> readyByService = new HashMap<>();
    private final Optional<CacheNode> sharedCache;
    private RoutingTable routing = RoutingTable.EMPTY;
    private Fleet fleet;
    /** The fleet as last reported by settled registries; null until one has reported it. */
    private Fleet settledFleet;

    private boolean announcing;

    /** Creates the client of an edge proxy, which connects when it is started. */
    public ControlClient(Settings settings, EventLoop loop, SocketKind sockets, Clock clock) {
        this(settings, loop, sockets, clock, "proxy", Optional.empty());
    }

    /** Creates the client of a shared cache, which can announce itself to edge proxies. */
    public static ControlClient ofCache(
            Settings settings, EventLoop loop, SocketKind sockets, Clock clock, CacheNode cache) {
        return new ControlClient(settings, loop, sockets, clock, "cache", Optional.of(cache));
    }

    private ControlClient(
            Settings settings,
            EventLoop loop,
            SocketKind sockets,
            Clock clock,
            String program,
            Optional<CacheNode> cache) {
        this.sharedCache = cache;
        this.settings = settings;
        this.loop = loop;
        this.sockets = sockets;
        this.clock = clock;
        this.coverage = new PurgeCoverage(settings.bounds().purgeDeadlineMs());
        this.appliedPurges = new PurgeHistory(clock.now());
        this.hello = new LinkMessages.Hello(
                LinkMessages.Hello.PROTOCOL,
                program,
                settings.nodeName(),
                settings.ipAddress(),
                cache.map(CacheNode::id).orElseGet(() -> UUID.randomUUID().toString()));
    }

    /** Connects to the seeds; other core machines are learned from them. */
    public void start() {
        members.addCoreHosts(settings.seedHosts());
        connectRegistries();
        // Voters are usually among the seeds: connecting to them at once avoids learning them from a registry after a
        // restart.
        for (String host : settings.seedHosts()) {
            connectStore(host);
        }
        long intervalMs = Math.max(
                MIN_CONFIRMATION_INTERVAL_MS, settings.bounds().purgeDeadlineMs() / CONFIRMATIONS_PER_PURGE_DEADLINE);
        loop.scheduleWithFixedDelay(this::requestConfirmations, intervalMs, intervalMs, TimeUnit.MILLISECONDS);
    }

    private void requestConfirmations() {
        stores.values().forEach(StoreFeed::requestConfirmation);
    }

    /** Announces this shared cache to edge proxies through every registry. */
    public void announce() {
        announcing = true;
        sharedCache.ifPresent(node -> registries.values().forEach(feed -> feed.announce(node)));
    }

    /** Closes the connections to all registries, which then report to edge proxies that this process has left. */
    public void withdraw() {
        announcing = false;
        registries.values().forEach(RegistryFeed::close);
    }

    private void connectStore(String host) {
        if (!stores.containsKey(host)) {
            StoreFeed feed = new StoreFeed(this, clock::now);
            stores.put(host, feed);
            feed.start(newLink(host, settings.storePort(), feed));
        }
    }

    private void connectRegistries() {
        for (String host : members.coreHosts()) {
            if (!registries.containsKey(host)) {
                RegistryFeed feed = new RegistryFeed(this);
                registries.put(host, feed);
                feed.start(newLink(host, settings.registryPort(), feed));
                if (announcing) {
                    sharedCache.ifPresent(feed::announce);
                }
            }
        }
    }

    private ReconnectingLink newLink(String host, int port, LinkListener listener) {
        return new ReconnectingLink(loop, sockets, new InetSocketAddress(host, port), hello, listener);
    }

    @Override
    public void membersReceived(List<String> coreHosts, VoterSet voters) {
        if (members.addCoreHosts(coreHosts)) {
            connectRegistries();
        }
        updateVoters(voters, clock.now());
    }

    /** Takes over newer voters, given a time by which their epoch had been decided. */
    private void updateVoters(VoterSet voters, double decidedMs) {
        coverage.setVoters(voters, decidedMs);
        if (!members.updateVoters(voters)) {
            return;
        }
        LOG.log(
                System.Logger.Level.INFO,
                "event=voters_known epoch=" + voters.epoch() + " voters=" + voters.voters() + " previous="
                        + voters.previous());
        List<String> addresses = voters.addresses();
        addresses.forEach(this::connectStore);
        for (String host : List.copyOf(stores.keySet())) {
            if (!addresses.contains(host)) {
                StoreFeed removed = stores.remove(host);
                removed.close();
                coverage.streamEnded(removed.store());
            }
        }
    }

    /** The voting stores, in the newest epoch received. */
    VoterSet voters() {
        return members.voters();
    }

    /** The feeds of the voting stores' machines; empty while the voters are not known. */
    List<StoreFeed> voterFeeds() {
        return members.voters().isKnown() ? List.copyOf(stores.values()) : List.of();
    }

    /** The feed of a voting store; null if it is not followed, or if its machine has a different disk now. */
    StoreFeed feedOf(Voter voter) {
        StoreFeed feed = stores.get(voter.address());
        return feed != null && voter.equals(feed.store()) ? feed : null;
    }

    @Override
    public void snapshotReceived(StoreFeed feed, StoreMessages.Snapshot snapshot) {
        double nowMs = clock.now();
        updateVoters(snapshot.voters(), nowMs - snapshot.votersAgeMs());
        for (RecentPurge recent : snapshot.purges()) {
            applyPurge(feed, recent.purge(), nowMs - recent.ageMs());
        }
        coverage.streamStarted(feed.store(), nowMs - snapshot.purgesCompleteForMs());
        mergeItems(snapshot.items());
    }

    @Override
    public void updateReceived(StoreFeed feed, StoreMessages.Update update) {
        double nowMs = clock.now();
        updateVoters(update.voters(), nowMs);
        mergeItems(update.items());
        update.purges().forEach(purge -> applyPurge(feed, purge, nowMs));
    }

    @Override
    public void purgesConfirmed(StoreFeed feed, StoreMessages.PurgesConfirmed confirmation) {
        coverage.confirmed(feed.store(), confirmation.sentAtMs(), confirmation.epoch());
    }

    /** Applies a purge, given the latest time at which it may have been published, unless it was applied before. */
    private void applyPurge(StoreFeed feed, Purge purge, double purgedAtMs) {
        if (!appliedPurges.add(purge, clock.now())) {
            return;
        }
        logApplied(feed, purge);
        for (ControlListener listener : listeners) {
            if (purge.isByTag()) {
                listener.tagPurged(purge.tag(), purgedAtMs);
            } else {
                listener.pathPurged(purge.hostname(), purge.path(), purgedAtMs);
            }
        }
    }

    private static void logApplied(StoreFeed feed, Purge purge) {
        if (LOG.isLoggable(System.Logger.Level.DEBUG)) {
            LOG.log(
                    System.Logger.Level.DEBUG,
                    "event=purge_applied purge=" + purge.id() + " target=" + purge.target() + " from="
                            + feed.position());
        }
    }

    private void mergeItems(List<Item> received) {
        if (items.mergeAll(received).isEmpty()) {
            return;
        }
        routing = ItemParser.routingTable(items.all());
        LOG.log(
                System.Logger.Level.INFO,
                "event=configuration_in_force items=" + items.all().size() + " digest=" + items.digest());
        for (ControlListener listener : listeners) {
            listener.configurationChanged();
        }
    }

    @Override
    public void instancesReceived(List<Instance> received) {
        for (Instance instance : received) {
            instances.merge(instance, clock.now());
        }
        readyByService.clear();
        fleetChanged();
    }

    @Override
    public RoutingTable routing() {
        return routing;
    }

    @Override
    public List<Instance> readyInstances(String service) {
        return readyByService.computeIfAbsent(service, this::findReady);
    }

    private List<Instance> findReady(String service) {
        List<Instance> ready = new ArrayList<>();
        for (Instance instance : instances.all()) {
            boolean serves = instance.state() == InstanceState.READY
                    && instance.service().equals(service);
            if (serves && !isUnresponsive(instance.id())) {
                ready.add(instance);
            }
        }
        ready.sort(java.util.Comparator.comparing(Instance::id));
        return List.copyOf(ready);
    }

    /** An instance is unresponsive if every settled registry reports it as such. */
    private boolean isUnresponsive(String instanceId) {
        boolean reported = false;
        for (RegistryFeed registry : registries.values()) {
            if (registry.isSettled()) {
                if (!registry.isUnresponsive(instanceId)) {
                    return false;
                }
                reported = true;
            }
        }
        return reported;
    }

    @Override
    public Fleet fleet() {
        if (fleet == null) {
            fleet = mergedFleet();
        }
        return fleet;
    }

    /**
     * The fleet as reported by all settled registries. A registry that has just started knows only part of the fleet,
     * and this process would then take too large a share of the fleet's limits. The previous fleet is kept until a
     * registry is settled.
     */
    private Fleet mergedFleet() {
        List<RegistryFeed> connected =
                registries.values().stream().filter(RegistryFeed::isConnected).toList();
        List<RegistryFeed> settled =
                connected.stream().filter(RegistryFeed::isSettled).toList();
        if (!settled.isEmpty()) {
            settledFleet = merged(settled);
        }
        return settledFleet != null ? settledFleet : merged(connected);
    }

    /** The largest fleet of proxies that any registry knows, and the shared caches connected to any of them. */
    private static Fleet merged(List<RegistryFeed> feeds) {
        FleetPosition position = FleetPosition.ALONE;
        Map<String, CacheNode> caches = new TreeMap<>();
        for (RegistryFeed registry : feeds) {
            FleetPosition proxies = registry.fleet().proxies();
            position = proxies.size() > position.size() ? proxies : position;
            registry.fleet().caches().forEach(cache -> caches.put(cache.id(), cache));
        }
        return new Fleet(position, List.copyOf(caches.values()));
    }

    @Override
    public void registryLost() {
        fleetChanged();
    }

    private void fleetChanged() {
        fleet = null;
        for (ControlListener listener : listeners) {
            listener.instancesChanged();
        }
    }

    @Override
    public boolean isReady() {
        return !routing.isEmpty() && hasInstances() && hasNewestItems();
    }

    /**
     * A settled registry knows all instances; one that has just started may know only some instances of each service.
     */
    private boolean hasInstances() {
        for (RegistryFeed registry : registries.values()) {
            if (registry.isSettled()) {
                return true;
            }
        }
        for (Service service : routing.services()) {
            if (readyInstances(service.name()).isEmpty()) {
                return false;
            }
        }
        return true;
    }

    /**
     * A quorum of the voters has sent its decided items, so at least one of them has each change that was confirmed
     * before.
     */
    private boolean hasNewestItems() {
        return voters().hasQuorum(voter -> feedOf(voter) != null);
    }

    @Override
    public boolean isCoveredSince(double sinceMs) {
        return coverage.covers(sinceMs, clock.now());
    }

    @Override
    public double purgesConfirmedUntilMs() {
        return coverage.confirmedUntilMs();
    }

    @Override
    public String describePurgeCoverage() {
        return coverage.describe(
                clock.now(), voter -> feedOf(voter) != null && feedOf(voter).isLive());
    }

    @Override
    public void addListener(ControlListener listener) {
        listeners.add(listener);
    }
}
