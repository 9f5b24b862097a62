package ridgemill.gateway;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.IntPredicate;
import java.util.function.Supplier;
import ridgemill.connections.ConnectionReleaseRequests;
import ridgemill.core.AdmissionController;
import ridgemill.core.Dispatcher;
import ridgemill.core.FaultReporter;
import ridgemill.core.Intake;
import ridgemill.core.PlatformAdmissionController;
import ridgemill.core.RequestCounters;
import ridgemill.core.WriteDeduplicator;
import ridgemill.deadline.DeadlinePolicy;
import ridgemill.deadline.Deadlines;
import ridgemill.deadline.LoopStallDetector;
import ridgemill.gateway.back.NodeBackend;
import ridgemill.gateway.back.NodeConnectionPool;
import ridgemill.gateway.back.ConnectionLimit;
import ridgemill.gateway.back.http.HttpNodeConnection;
import ridgemill.gateway.console.Console;
import ridgemill.gateway.front.ClientTable;
import ridgemill.gateway.front.Listeners;
import ridgemill.gateway.front.http.HttpFrontend;
import ridgemill.gateway.front.http.HttpClientPolicy;
import ridgemill.gateway.membership.Discovery;
import ridgemill.gateway.membership.HostList;
import ridgemill.gateway.net.Addresses;
import ridgemill.gateway.net.Clock;
import ridgemill.gateway.net.Content;
import ridgemill.gateway.net.Fingerprint;
import ridgemill.gateway.net.Log;
import ridgemill.gateway.net.LogFaults;
import ridgemill.gateway.net.LoopGroup;
import ridgemill.gateway.net.LoopTimers;
import ridgemill.gateway.net.SocketKind;
import ridgemill.gateway.net.Transport;
import ridgemill.gateway.succession.ServingProcessFile;
import ridgemill.idempotency.IdempotencyRecords;
import ridgemill.monitoring.ProxyMetrics;
import ridgemill.monitoring.Readiness;
import ridgemill.policy.BalancingRouter;
import ridgemill.policy.Router.Availability;
import ridgemill.policy.Router.ListUpdateKind;
import ridgemill.policy.Router.Outcome;
import ridgemill.policy.Router.ServiceClass;
import ridgemill.policy.Router.Settings;
import ridgemill.policy.Router;
import ridgemill.succession.ShutdownPlan;

/** One running proxy: puts the parts together on one event loop, and takes them down without losing a request. */
public final class Service {

    /** Descriptors for the listener, the watch, peers, the selector and the Java machine's own files. */
    static final int RESERVED_DESCRIPTORS = 48;
    /** Part of the other descriptors that is for clients; each of their requests has one attempt out at most. */
    private static final double CLIENT_DESCRIPTOR_FRACTION = 0.5;
    private static final long DRAIN_POLL_INTERVAL_MS = 10;
    /** How long readiness waits for discovery: a list from the configuration serves if it says nothing. */
    static final long DISCOVERY_WAIT_MS = 2000;
    static final long COUNTERS_LOG_INTERVAL_S = 10;
    /** What the length of a datagram of leases leaves when it is divided by that of a key. */
    private static final int FLEET_MESSAGE_REMAINDER = 3;

    private final LoopGroup group = new LoopGroup(1, SocketKind.chosen().handlers());
    private final CountDownLatch ended = new CountDownLatch(1);
    private final EventLoop loop = group.next();
    private final Config config;
    private final LoopTimers timers;
    private final Deadlines deadlines;
    private final Intake<Content> intake;
    private final ConnectionLimit nodeConnectionLimit;
    private final NodeConnectionPool pool;
    private final Upstream platform;
    private final ClientTable clients;
    private final List<Runnable> stopListeningActions = new ArrayList<>();
    private final HttpFrontend frontend;
    private final Discovery discovery;
    private final PeerMessenger peers;
    private final Map<String, HostList.Host> hosts = new LinkedHashMap<>();
    private Runnable hostListListener = () -> { };
    private final List<BiConsumer<Integer, byte[]>> fleetMessageListeners = new ArrayList<>();
    private IntPredicate ignoredPeers = from -> false;
    private final List<Supplier<Map<String, Long>>> additionalMetrics = new ArrayList<>();
    private volatile Runnable afterDrain = () -> { };
    private Readiness startupStage = Readiness.STARTING;
    private boolean recordedAsServing;
    private InetSocketAddress listenAddress;
    private InetSocketAddress consoleListenAddress;

    /** A proxy that reaches the outside by itself. */
    private Service(Config config, Router router, AdmissionController admission) {
        this(config, router, admission, null);
    }

    /** One that reaches discovery, peers and new clients through a crew, or by itself where that is null. */
    private Service(Config config, Router router, AdmissionController admission, MemberContext context) {
        this.config = config;
        Settings settings = config.settings();
        int descriptors = Math.max(2, config.sockets() - RESERVED_DESCRIPTORS);
        int clientDescriptors = Math.max(1, (int) (descriptors * CLIENT_DESCRIPTOR_FRACTION));
        timers = new LoopTimers(loop, new Clock());
        deadlines = new Deadlines(DeadlinePolicy.DEFAULT);
        intake = new Intake<>(timers, admission, deadlines);
        nodeConnectionLimit = new ConnectionLimit(Math.max(1, descriptors - clientDescriptors));
        pool = new NodeConnectionPool(loop, Transport.TCP, HttpNodeConnection::new,
                settings.limits().connectTimeoutMs(), settings.connectionCosts().idleTimeoutMs(), nodeConnectionLimit);
        platform = createUpstream(Intake.PLATFORM_GROUP, settings, router, pool, faultReporter(context));
        intake.addGroup(Intake.PLATFORM_GROUP, platform.dispatcher());
        clients = new ClientTable(clientDescriptors, admission::maxConnectionsPerClient);
        frontend = new HttpFrontend(loop, intake, clients);
        stopListeningActions.add(frontend::stopListening);
        if (context != null) {
            discovery = null;
            peers = null;
            platform.dispatcher().setCallbacks(context::subscribe, context::broadcast);
            sendReleaseRequests(context::broadcast);
            return;
        }
        discovery = new Discovery(loop, config.discovery(), config.knownHosts(), !settings.mustSubscribe(), new DiscoveryListener());
        peers = config.peerListen() == null ? null : new PeerMessenger(loop, config, this::peerMessage);
        Consumer<byte[]> broadcast = peers == null ? contents -> { } : peers::send;
        platform.dispatcher().setCallbacks(discovery::subscribe, broadcast);
        sendReleaseRequests(broadcast);
    }

    /** Nodes that have no place for a connection of ours: the other proxies hear of it, if the settings let us speak. */
    private void sendReleaseRequests(Consumer<byte[]> broadcast) {
        ConnectionReleaseRequests releaseRequests = new ConnectionReleaseRequests();
        if (config.settings().limits().peerMessagesAllowed()) {
            pool.onConnectionRejected(node -> {
                byte[] request = releaseRequests.connectionRejected(node, timers.now());
                if (request != null) {
                    broadcast.accept(request);
                }
            });
        }
    }

    private Upstream createUpstream(String name, Settings settings, Router router, NodeBackend backend, FaultReporter faults) {
        return new Upstream(router, backend, new Dispatcher<>(timers, settings, router, backend, faults, intake::requestFinished,
                config.maxPendingRequests(), deadlines.group(name)));
    }

    private static FaultReporter faultReporter(MemberContext context) {
        return context == null ? new LogFaults() : new MemberFaultReporter(new LogFaults(), context);
    }

    /** Tells the crew too of what a member does not recover from. */
    private record MemberFaultReporter(LogFaults log, MemberContext context) implements FaultReporter {
        @Override
        public void error(String message, Throwable cause) {
            log.error(message, cause);
        }

        @Override
        public void warning(String message) {
            log.warning(message);
        }

        @Override
        public void fatal(String message, Throwable cause) {
            log.error(message, cause);
            context.failed();
        }
    }

    /** What a member of a crew has of the world beyond nodes and its clients; called on the member's loop. */
    interface MemberContext {

        /** Asks discovery to send changes. */
        void subscribe();

        /** Tells all other proxies, those of this process too. */
        void broadcast(byte[] contents);

        /** The member can't decide any more. */
        void failed();
    }

    /** A member of a crew, which waits for what it is told and dealt once it has begun. */
    static Service createMember(Config config, Router router, AdmissionController admission, MemberContext context) {
        return new Service(config, router, admission, context);
    }

    /** Begins as a member, once all of its crew are there. */
    void startMember() {
        runOnLoop(() -> {
            startDispatcher();
            clients.startTimeoutChecks(loop);
        });
    }

    /** What holds for clients over HTTP from now on; on the loop. */
    public void setHttpClientPolicy(HttpClientPolicy policy) {
        frontend.policy(policy);
    }

    /** Outcomes of keyed writes are recorded from now on, and told to who asks; on the loop. */
    public void enableIdempotencyRecords(IdempotencyRecords records) {
        intake.setDeduplicator(new WriteDeduplicator<>(timers, records, Fingerprint::of));
        frontend.enableOutcomeQueries();
    }

    /** Where the HTTP front takes connections in, which a crew deals. */
    public Listeners httpListeners() {
        return frontend.listeners();
    }

    /** From now on the proxy says that it may be used; on the loop. */
    void ready() {
        frontend.markReady();
        markServing();
    }

    /** What discovery told a crew; on the loop. */
    void applyHostList(ListUpdateKind kind, HostList list) {
        new DiscoveryListener().hosts(kind, list);
    }

    /** Discovery failed a crew; on the loop. */
    void discoveryFailed() {
        platform.dispatcher().discoveryFailed();
    }

    /** A message of another proxy, or of another loop of this process; on the loop. */
    void peerMessage(int from, byte[] contents) {
        if (ignoredPeers.test(from) && (ConnectionReleaseRequests.isReleaseRequest(contents) || contents.length % Integer.BYTES != FLEET_MESSAGE_REMAINDER)) {
            return;
        }
        if (ConnectionReleaseRequests.isReleaseRequest(contents)) {
            pool.closeIdleLongerThan(node -> ConnectionReleaseRequests.isForNode(contents, node), ConnectionReleaseRequests.IDLE_THRESHOLD_MS);
        } else if (contents.length % Integer.BYTES == FLEET_MESSAGE_REMAINDER) {
            // Of leases or versions: the decisions' own messages are whole numbers of keys. Whoever has none of these has no use for it.
            fleetMessageListeners.forEach(to -> to.accept(from, contents));
        } else {
            platform.dispatcher().peerMessage(from, contents);
        }
    }

    /** What such proxies, by their place among the peers, tell the decisions or ask for is not heard; on the loop. */
    public void ignorePeers(IntPredicate from) {
        ignoredPeers = from;
    }

    /** Passes on what other proxies say of leases and versions, with their place among the peers; to be called on the loop. */
    public void onFleetMessage(BiConsumer<Integer, byte[]> listener) {
        fleetMessageListeners.add(listener);
    }

    /** Tells one other proxy something, by its place among the peers; on the loop. */
    public void sendToPeer(int to, byte[] contents) {
        if (peers != null) {
            peers.send(to, contents);
        }
    }

    /** Takes in another group of nodes, under decisions of its own; to be called on the loop. */
    public Group addGroup(String name, Settings settings, Router router, NodeBackend backend) {
        Group group = new Group(name, createUpstream(name, settings, router, backend, new LogFaults()));
        group.upstream.dispatcher().start();
        intake.addGroup(name, group.upstream.dispatcher());
        return group;
    }

    /** The platform's own nodes. */
    public Group platform() {
        return new Group(Intake.PLATFORM_GROUP, platform);
    }

    /** A group of nodes: the platform's, or one beside it. All of it is to be called on the loop. */
    public final class Group {
        private final String name;
        private final Upstream upstream;

        private Group(String name, Upstream upstream) {
            this.name = name;
            this.upstream = upstream;
        }

        /** Its nodes, which the list names all. */
        public void setNodes(HostList list) {
            upstream.applyHostList(ListUpdateKind.FULL, list);
        }

        /** Its nodes that take work, as they are listed. */
        public List<String> listed() {
            return upstream.router().listedNodes();
        }

        /** Those of its nodes that get nothing now as they could not be reached. */
        public List<String> gone() {
            return upstream.router().unreachableNodes(timers.now());
        }

        /** Its decisions are told what came of a probe, made here or by another proxy. */
        public void probed(String node, Outcome outcome, double tookMs) {
            upstream.dispatcher().probeEnded(node, outcome, tookMs);
        }

        /** Asks one of its nodes whether it takes work; {@code done} is told on the loop. */
        public void probe(String node, Consumer<Outcome> done) {
            upstream.backend().probe(node, config.settings().limits().connectTimeoutMs(), (outcome, answer) -> done.accept(outcome));
        }

        /** No new request goes to it, and nothing new to its nodes; attempts that are out there end as they end. */
        public void remove(long version) {
            intake.removeGroup(name);
            setNodes(new HostList(version, true, List.of()));
            nodeConnectionLimit.unregister(upstream.backend());
        }
    }

    /** What holds for requests that come and for those in line; all of it is to be called on the loop. */
    public Intake<Content> intake() {
        return intake;
    }

    /** Listens for HTTP at one more address until {@link #stopListeningAt}; not to be called on the loop. */
    public void listen(InetSocketAddress address) throws IOException, InterruptedException {
        awaitBound(frontend.listen(Transport.TCP, address), address);
    }

    /** No new connections at an address that was listened at besides. */
    public void stopListeningAt(InetSocketAddress address) {
        loop.execute(() -> frontend.stopListening(address));
    }

    /** The hosts of the platform's list as it was told last; on the loop. */
    public List<HostList.Host> hosts() {
        return List.copyOf(hosts.values());
    }

    /** Runs {@code then} on the loop after each news of the platform's list, in place of what was run before. */
    public void onHostListChange(Runnable listener) {
        hostListListener = listener;
    }

    /** The decisions' present level of throttling for the platform's nodes; on the loop. */
    public int throttleLevel() {
        return platform.router().admissionLevel();
    }

    /** The clients' connections of all fronts. */
    public ClientTable clients() {
        return clients;
    }

    /** The descriptors that connections to nodes share. */
    public ConnectionLimit nodeConnectionLimit() {
        return nodeConnectionLimit;
    }

    /** Another front: {@code stop} is run on the loop when no more connections are to be taken. */
    public void onStopListening(Runnable action) {
        stopListeningActions.add(action);
    }

    /** The loop that owns all of the proxy's state. */
    public EventLoop loop() {
        return loop;
    }

    /**
     * Runs a task on the loop between two requests, as when other settings take effect, and returns when it has run.
     * Not to be called on the loop.
     */
    public void runOnLoop(Runnable task) {
        loop.submit(task).syncUninterruptibly();
    }

    /** Runs what a start runs, without a deployment: the build archives the classes that this loads. */
    public static void runClassArchiveTraining() throws ConfigException, IOException, InterruptedException {
        ClassArchiveTraining.run();
    }

    /** Runs the proxy's own path on requests that stay inside the process, before one is started. */
    public static void warmUp(Config config) throws IOException, InterruptedException {
        boolean replacesOther = otherProcessServes(config, config.listen());
        Warmup.run(config.settings(), replacesOther ? null : config.peerListen(), replacesOther);
    }

    /**
     * Starts a proxy with the project's decisions. It asks discovery before it warms up: what discovery says takes seconds
     * when a whole fleet starts anew and asks at once, and the list that a restarted proxy knows has many that are gone.
     */
    public static Service start(Config config) throws IOException, InterruptedException {
        return start(config, new BalancingRouter(config.settings(), config.seed()), () -> warmUp(config));
    }

    /** The same with other decisions and another preparation. */
    static Service start(Config config, Router router, Preparation preparation) throws IOException, InterruptedException {
        return new Service(config, router, new PlatformAdmissionController(config.settings())).openOrShutDown(preparation);
    }

    /** What a start does between asking discovery and taking clients. */
    interface Preparation {
        void run() throws IOException, InterruptedException;
    }

    /** Starts a proxy with decisions of the caller's, and without a warm-up. */
    public static Service start(Config config, Router router) throws IOException, InterruptedException {
        return start(config, router, new PlatformAdmissionController(config.settings()));
    }

    /** Starts a proxy whose requests go through a gate of the caller's, without a warm-up. */
    public static Service start(Config config, Router router, AdmissionController admission) throws IOException, InterruptedException {
        return start(config, router, admission, service -> { });
    }

    /** The same with something to be done once there is a proxy, before it takes clients; not on its loop. */
    public static Service start(Config config, Router router, AdmissionController admission, Consumer<Service> beforeClients) throws IOException, InterruptedException {
        Service service = new Service(config, router, admission);
        return service.openOrShutDown(() -> beforeClients.accept(service));
    }

    /** Opens it, with something to be done before clients are taken. */
    Service openOrShutDown(Preparation preparation) throws IOException, InterruptedException {
        try {
            open(preparation);
        } catch (IOException e) {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
            throw e;
        }
        return this;
    }

    private void open(Preparation preparation) throws IOException, InterruptedException {
        checkAddressIsFree(config.listen(), isShared());
        if (config.console() != null) {
            Console console = new Console(loop, this::readiness, this::metrics);
            consoleListenAddress = (InetSocketAddress) awaitBound(console.listen(config.console()), config.console()).channel().localAddress();
        }
        // The module knows its list before the first client can come, and asks for a newer one.
        loop.submit(this::startDispatcher).sync();
        loop.execute(discovery::start);
        loop.execute(() -> startupStage = startupStage.advanceTo(Readiness.WARMING_UP));
        preparation.run();
        if (peers != null) {
            awaitBound(peers.listen(isShared()), config.peerListen());
        }
        listenAddress = (InetSocketAddress) awaitBound(frontend.listen(isShared() ? Transport.SHARED_TCP : Transport.TCP, config.listen()), config.listen()).channel().localAddress();
        Log.info("listening on " + Addresses.text(listenAddress));
        loop.execute(() -> {
            startupStage = startupStage.advanceTo(Readiness.WAITING_FOR_LIST);
            markServing();
        });
        clients.startTimeoutChecks(loop);
        long waitMs = config.settings().mustSubscribe() ? 0 : DISCOVERY_WAIT_MS;
        loop.schedule(this::ready, waitMs, TimeUnit.MILLISECONDS);
        loop.scheduleAtFixedRate(this::logCounters, COUNTERS_LOG_INTERVAL_S, COUNTERS_LOG_INTERVAL_S, TimeUnit.SECONDS);
    }

    /** Waits until an address is listened at; throws where it can't be had. */
    public static ChannelFuture awaitBound(ChannelFuture bound, InetSocketAddress address)
            throws IOException, InterruptedException {
        bound.await();
        if (!bound.isSuccess()) {
            throw listenFailure(address, bound.cause());
        }
        return bound;
    }

    /**
     * Finds out early whether nobody listens there: bound, but not listening, as whoever connected now would wait for all of
     * the start.
     */
    private static void checkAddressIsFree(InetSocketAddress address, boolean shared) throws IOException {
        try (SocketChannel channel = SocketChannel.open()) {
            channel.setOption(StandardSocketOptions.SO_REUSEPORT, shared);
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true).bind(address);
        } catch (BindException e) {
            throw listenFailure(address, e);
        }
    }

    private static IOException listenFailure(InetSocketAddress address, Throwable cause) {
        return new IOException("cannot listen on " + Addresses.text(address) + ": " + cause.getMessage());
    }

    /** Where peers' messages arrive. */
    public InetSocketAddress peerListenAddress() {
        return peers.listenAddress();
    }

    /** Where operators call; null where they have no address. */
    public InetSocketAddress consoleListenAddress() {
        return consoleListenAddress;
    }

    /** Whether another process of this proxy may listen at its addresses too: where operators can see which of them serves. */
    private boolean isShared() {
        return config.console() != null;
    }

    private boolean readyToServe() {
        return startupStage == Readiness.WAITING_FOR_LIST && frontend.isUp();
    }

    /** Whether another process of this proxy serves at its address. */
    private static boolean otherProcessServes(Config config, InetSocketAddress address) {
        return config.console() != null && ServingProcessFile.of(address).otherProcess().isPresent();
    }

    /** This process has become the one that serves; before the console says so, as the other is told to end then. */
    private void markServing() {
        if (isShared() && !recordedAsServing && readyToServe()) {
            recordedAsServing = true;
            ServingProcessFile.of(listenAddress).recordThisProcess();
        }
    }

    /** Whether clients may come, and why not; on the loop. */
    private Readiness readiness() {
        return clients.isDraining() ? Readiness.DRAINING
                : readyToServe() ? Readiness.SERVING : startupStage;
    }

    /** On the loop. */
    private ProxyMetrics metrics() {
        String originModel = config.settings().originModel();
        List<String> nodes = hosts.values().stream().filter(h -> originModel == null || !originModel.equals(h.node().model()))
                .map(h -> h.node().id()).toList();
        Map<String, Long> all = new TreeMap<>();
        additionalMetrics.forEach(supplier -> all.putAll(supplier.get()));
        return ProxyMetrics.of(intake.counters(), config.settings().classes().stream().map(ServiceClass::name).toList(), intake.pendingRequests(),
                nodes, id -> platform.router().isExcluded(timers.now(), id), all);
    }

    /** Counts that the console shows besides, by name; to be called on the loop, as what tells them is. */
    public void addMetrics(Supplier<Map<String, Long>> supplier) {
        additionalMetrics.add(supplier);
    }

    /** Where clients connect. */
    public InetSocketAddress listenAddress() {
        return listenAddress;
    }

    /**
     * Takes in the configuration's file as it is now. Discovery's address is what a running proxy can change; a file
     * that can't be read changes nothing. Returns at once: it is called by the thread that has the signal.
     */
    public void reload(Map<String, String> environment) {
        try {
            loop.execute(() -> reloadOnLoop(environment));
        } catch (RejectedExecutionException e) {
            Log.info("no new configuration: the proxy has ended");
        }
    }

    private void reloadOnLoop(Map<String, String> environment) {
        reloadDiscovery(environment, discovery);
    }

    /** Reads the configuration again for a watch that may move; on the watch's loop. */
    static void reloadDiscovery(Map<String, String> environment, Discovery discovery) {
        try {
            Config next = Config.reread(environment);
            Log.info("new configuration: discovery at " + next.discovery());
            discovery.moveTo(next.discovery());
        } catch (ConfigException e) {
            Log.info("new configuration not taken, the old one stays: " + e.getMessage());
        }
    }

    /** Ends the service once nothing is owed, and returns then. */
    public void drain() {
        drainThen(() -> { });
    }

    /** The same with something to be done when nothing is owed any more, before the loop ends; not on the loop. */
    public void drainThen(Runnable action) {
        afterDrain = action;
        shutDown(ShutdownPlan.of(otherProcessServes(config, listenAddress), config.settings().classes()));
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Leaves by a plan; returns at once. */
    void shutDown(ShutdownPlan plan) {
        if (plan.hasSuccessor()) {
            Log.info("succeeded by another process");
            loop.execute(() -> {
                frontend.markSucceeded();
                clients.limitResponseTime(plan.responseMs());
                if (peers != null) {
                    peers.close();
                }
            });
        }
        beginDrain();
        loop.schedule(this::stopListening, (long) plan.acceptMs(), TimeUnit.MILLISECONDS);
        loop.schedule(this::endDrain, (long) plan.idleMs(), TimeUnit.MILLISECONDS);
    }

    /** Still serves whoever comes, but each for the last time. */
    void beginDrain() {
        Log.info("draining");
        loop.execute(clients::drain);
    }

    /** Once: a plan may stop listening before it ends. */
    private void stopListening() {
        stopListeningActions.forEach(Runnable::run);
        stopListeningActions.clear();
    }

    /** Takes no more, and ends when all that was taken is answered. */
    void endDrain() {
        loop.execute(() -> {
            stopListening();
            clients.closeIdleConnections();
            shutDownWhenIdle();
        });
    }

    /**
     * What a running proxy says of itself; requests and what became of them since the start.
     *
     * @param owed requests without a final answer yet
     * @param clients clients' connections
     * @param nodes connections to nodes
     * @param level the decisions' present level of throttling, 0 for none
     * @param reasons why requests were refused or failed, by class and by the reason's stable name
     */
    public record Status(long requests, long served, long refused, long failed, long gone, int owed, int clients,
                         int nodes, int level, Map<String, Map<String, Long>> reasons) {

        /** Of two loops together; the level is the higher one's. */
        Status plus(Status other) {
            return new Status(requests + other.requests, served + other.served, refused + other.refused, failed + other.failed, gone + other.gone,
                    owed + other.owed, clients + other.clients, nodes + other.nodes, Math.max(level, other.level), sum(reasons, other.reasons));
        }

        private static Map<String, Map<String, Long>> sum(Map<String, Map<String, Long>> a, Map<String, Map<String, Long>> b) {
            Map<String, Map<String, Long>> sum = new TreeMap<>();
            for (Map<String, Map<String, Long>> counts : List.of(a, b)) {
                counts.forEach((service, byReason) -> byReason.forEach((reason, n) ->
                        sum.computeIfAbsent(service, s -> new TreeMap<>()).merge(reason, n, Long::sum)));
            }
            return sum;
        }

        static Status of(Counts counts, int level) {
            RequestCounters counters = counts.counters();
            return new Status(counters.requests(), counters.served(), counters.refused(), counters.failed(), counters.gone(), counts.pending(), counts.clients(), counts.nodes(),
                    level, counters.reasons());
        }
    }

    /** Asks the loop; not to be called on it. */
    public Status status() {
        return loop.submit(() -> Status.of(counts(), throttleLevel())).syncUninterruptibly().getNow();
    }

    /** Ends at once, whatever is owed. */
    public void kill() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Waits for the last answers to be written; a client's connection closes once its own has been. */
    private void shutDownWhenIdle() {
        if (intake.pendingRequests() > 0 || clients.size() > 0) {
            loop.schedule(this::shutDownWhenIdle, DRAIN_POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
        } else {
            if (discovery != null) {
                logCounters();
            }
            // Not on the loop, which it may need.
            Thread shutdown = new Thread(() -> {
                afterDrain.run();
                group.shutdownGracefully(0, 1, TimeUnit.SECONDS).addListener(f -> ended.countDown());
            }, "end");
            shutdown.start();
        }
    }

    /** Waits until the service has ended. */
    public void awaitEnd() throws InterruptedException {
        ended.await();
    }

    private void logCounters() {
        Log.info(counts().toString());
    }

    /** What the log tells at intervals; on the loop. */
    record Counts(RequestCounters counters, int pending, int clients, int nodes) {

        static final Counts NONE = new Counts(new RequestCounters(), 0, 0, 0);

        Counts plus(Counts other) {
            return new Counts(new RequestCounters().add(counters).add(other.counters), pending + other.pending, clients + other.clients, nodes + other.nodes);
        }

        @Override
        public String toString() {
            return counters + " owed=" + pending + " clients=" + clients + " nodes=" + nodes;
        }
    }

    Counts counts() {
        return new Counts(intake.counters(), intake.pendingRequests(), clients.size(), nodeConnectionLimit.openConnections());
    }

    private void startDispatcher() {
        // With a delay between them, and not at a rate: after a stall one beat tells of it.
        loop.scheduleWithFixedDelay(() -> deadlines.loopStalls().tick(timers.now()), 0, (long) LoopStallDetector.TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        platform.dispatcher().start();
        if (config.knownHosts() != null) {
            platform.applyHostList(ListUpdateKind.REMEMBERED, config.knownHosts());
            updateHosts(config.knownHosts());
        }
    }

    private void updateHosts(HostList list) {
        if (list.whole()) {
            hosts.clear();
        }
        for (HostList.Host h : list.hosts()) {
            if (h.node().availability() == Availability.GONE) {
                hosts.remove(h.node().id());
            } else {
                hosts.put(h.node().id(), h);
            }
        }
    }

    /** Passes on what discovery tells. */
    private final class DiscoveryListener implements Discovery.Listener {
        @Override
        public void hosts(ListUpdateKind kind, HostList list) {
            platform.applyHostList(kind, list);
            updateHosts(list);
            hostListListener.run();
        }

        @Override
        public void refused() {
            platform.dispatcher().discoveryFailed();
        }

        @Override
        public void heard() {
            ready();
        }
    }
}
