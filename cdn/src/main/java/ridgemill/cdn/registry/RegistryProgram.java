package ridgemill.cdn.registry;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import ridgemill.cdn.http.SimpleHttpServer;
import ridgemill.cdn.instances.Instance;
import ridgemill.cdn.instances.InstanceTable;
import ridgemill.cdn.membership.ClusterMembers;
import ridgemill.cdn.settings.Settings;
import ridgemill.cdn.wire.LinkMessages;
import ridgemill.cdn.wire.LinkServer;
import ridgemill.gateway.net.Addresses;
import ridgemill.gateway.net.Clock;
import ridgemill.gateway.net.SocketKind;

/**
 * The registry: accepts requests of instances and operators, keeps the list of instances in memory and those that leave
 * also on disk, shares it with the registries on the other core machines and sends it to edge proxies. One registry
 * runs on each core machine. Everything runs on one event loop, except for the disk, which has its own thread.
 */
public final class RegistryProgram {

    private static final String DATA_FOLDER = "registry";
    /** How often heartbeats and recent changes are sent to the other registries, in milliseconds. */
    private static final long GOSSIP_INTERVAL_MS = 500;
    /** The timeout of a call to the stores, in milliseconds. Clients move on to another registry after one second. */
    private static final long STORE_TIMEOUT_MS = 900;

    /** How long calls in progress delay the end of the process, in milliseconds; each ends sooner. */
    private static final long DRAIN_TIMEOUT_MS = 1_000;

    private static final long DRAIN_CHECK_INTERVAL_MS = 20;

    private final Settings settings;
    private final EventLoop loop;
    private final SocketKind sockets;
    private final Clock clock;
    private final InstanceTable instances = new InstanceTable();
    private final ClusterMembers members = new ClusterMembers();
    private final StoreClient storeClient;
    private final ProxyUpdates proxyUpdates;
    private final PeerRegistries peers;
    private final VotingStores stores;
    private final DepartureLog departures;
    private final InstanceReports reports;
    private SimpleHttpServer controlServer;
    private LinkServer linkServer;
    private boolean draining;

    /** Creates a registry that is started by {@link #start}. */
    public RegistryProgram(Settings settings, EventLoop loop, SocketKind sockets, Clock clock) {
        this(
                settings,
                loop,
                sockets,
                clock,
                settings.dataDirectory() == null
                        ? DepartureDisk.NONE
                        : new DepartureFolder(settings.dataDirectory().resolve(DATA_FOLDER)));
    }

    RegistryProgram(Settings settings, EventLoop loop, SocketKind sockets, Clock clock, DepartureDisk disk) {
        this.settings = settings;
        this.loop = loop;
        this.sockets = sockets;
        this.clock = clock;
        String incarnationId = UUID.randomUUID().toString();
        LinkMessages.Hello hello = new LinkMessages.Hello(
                LinkMessages.Hello.PROTOCOL, "registry", settings.nodeName(), settings.ipAddress(), incarnationId);
        LinkOpener opener = new LinkOpener(loop, sockets, hello);
        storeClient = new StoreClient(loop, STORE_TIMEOUT_MS);
        proxyUpdates = new ProxyUpdates(incarnationId, members, instances, clock, settings.heartbeatIntervalMs());
        peers = new PeerRegistries(
                settings.ipAddress(), settings.registryPort(), opener, members, instances, proxyUpdates);
        stores = new VotingStores(settings.storePort(), opener, members, proxyUpdates, storeClient);
        departures = new DepartureLog(disk, loop);
        reports = new InstanceReports(instances, members, peers, departures, proxyUpdates, loop, clock);
    }

    /**
     * Reads the departures from disk, then listens and connects to the other core machines.
     *
     * @throws io.netty.channel.ChannelException if an address cannot be bound
     */
    public void start() {
        loadDepartures();
        proxyUpdates.markStarted();
        InetSocketAddress control = Addresses.parse(settings.controlAddress());
        ControlRouter calls =
                new ControlRouter(new InstanceCalls(reports, instances, clock), new OperatorCalls(storeClient));
        linkServer = LinkServer.listen(
                loop,
                sockets,
                new InetSocketAddress(settings.ipAddress(), settings.registryPort()),
                new IncomingLinks(members, instances, proxyUpdates, peers, stores, departures, clock));
        controlServer = SimpleHttpServer.listen(loop, sockets, control, calls);
        loop.execute(this::joinCluster);
    }

    private void loadDepartures() {
        try {
            List<Instance> departed = departures.load();
            departed.forEach(instance -> instances.merge(instance, clock.now()));
            // A process that was killed may leave a file that was never synced.
            loop.execute(() -> departures.save(departed, ignored -> {}));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Shuts down gracefully: answers the calls in progress, refuses later ones, and then runs the task on the event
     * loop once.
     */
    public void drain(Runnable exitTask) {
        loop.execute(() -> {
            if (draining) {
                return;
            }
            draining = true;
            controlServer.drain();
            exitWhenIdle(exitTask, clock.now() + DRAIN_TIMEOUT_MS);
        });
    }

    private void exitWhenIdle(Runnable exitTask, double latestMs) {
        if (controlServer.isIdle() || clock.now() >= latestMs) {
            exitTask.run();
        } else {
            loop.schedule(() -> exitWhenIdle(exitTask, latestMs), DRAIN_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Stops accepting requests and links and closes the disk. Blocks, so it must not be called on the event loop. */
    public void stop() {
        controlServer.close();
        linkServer.close();
        departures.close();
    }

    private void joinCluster() {
        members.addCoreHosts(List.of(settings.ipAddress()));
        members.addCoreHosts(settings.seedHosts());
        peers.connect();
        stores.connect(settings.ipAddress());
        settings.seedHosts().forEach(stores::connect);
        loop.scheduleWithFixedDelay(this::gossip, GOSSIP_INTERVAL_MS, GOSSIP_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Sends heartbeats and recent changes to the other registries, and unresponsive instances to the proxies. */
    private void gossip() {
        double now = clock.now();
        for (String proxy : proxyUpdates.proxyNames()) {
            members.recordProxy(proxy, now);
        }
        peers.broadcast(reports.recentChanges(), reports.drainNewHeartbeats());
        instances.removeExpired(now);
        departures.retain(id -> instances.get(id) != null);
        proxyUpdates.refresh();
    }
}
