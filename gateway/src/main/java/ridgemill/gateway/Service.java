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

/**
 * One running proxy. Assembles its components on one event loop and shuts them down without losing a request.
 */
public final class Service {

    /** File descriptors for the listener, the discovery watch, peers, the selector and the JVM's own files. */
    static final int RESERVED_DESCRIPTORS = 48;
    /**
     * Fraction of the remaining descriptors for client connections; the rest are for connections to nodes. Half
     * is enough for nodes, as a client's request has at most one attempt in progress.
     */
    private static final double CLIENT_DESCRIPTOR_FRACTION = 0.5;
    private static final long DRAIN_POLL_INTERVAL_MS = 10;
    /**
     * How long readiness waits for discovery. If discovery sends nothing in this time, the host list from the
     * configuration is used.
     */
    static final long DISCOVERY_WAIT_MS = 2000;
    static final long COUNTERS_LOG_INTERVAL_S = 10;
    /** Remainder of the length of a lease or version datagram modulo {@link Integer#BYTES}, the size of a key. */
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

    /** Creates a proxy with its own connections to discovery and peers. */
    private Service(Config config, Router router, AdmissionController admission) {
        this(config, router, admission, null);
    }

    /**
     * Creates a proxy that reaches discovery and peers through {@code context} and gets its clients from another event
     * loop. If {@code context} is null, it does all of this itself.
     */
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
        discovery = new Discovery(loop, config.discovery(), config.knownHosts(), !settings.mustSubscribe(),
                new DiscoveryListener());
        peers = config.peerListen() == null ? null : new PeerMessenger(loop, config, this::peerMessage);
        Consumer<byte[]> broadcast = peers == null ? contents -> { } : peers::send;
        platform.dispatcher().setCallbacks(discovery::subscribe, broadcast);
        sendReleaseRequests(broadcast);
    }

    /**
     * When a node rejects a connection because it has no capacity left, asks the other proxies to release idle
     * connections to it, if the settings allow peer messages.
     */
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

    private Upstream createUpstream(String name, Settings settings, Router router, NodeBackend backend,
            FaultReporter faults) {
        return new Upstream(router, backend, new Dispatcher<>(timers, settings, router, backend, faults,
                intake::requestFinished, config.maxPendingRequests(), deadlines.group(name)));
    }

    private static FaultReporter faultReporter(MemberContext context) {
        return context == null ? new LogFaults() : new MemberFaultReporter(new LogFaults(), context);
    }

    /** Logs faults, and also reports those that a member cannot recover from to its {@link MultiLoopService}. */
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

    /**
     * Connects a member to the services that its {@link MultiLoopService} shares; called on the member's event loop.
     */
    interface MemberContext {

        /** Subscribes to changes from discovery. */
        void subscribe();

        /** Sends a message to all other proxies, including the other event loops of this process. */
        void broadcast(byte[] contents);

        /** Reports that the member's routing policy has failed and cannot be used any more. */
        void failed();
    }

    /**
     * Creates a member of a {@link MultiLoopService}. After {@link #startMember}, it gets its host lists, peer messages
     * and client connections from there.
     */
    static Service createMember(Config config, Router router, AdmissionController admission, MemberContext context) {
        return new Service(config, router, admission, context);
    }

    /** Starts a member; called once all members have been created. */
    void startMember() {
        runOnLoop(() -> {
            startDispatcher();
            clients.startTimeoutChecks(loop);
        });
    }

    /** Sets the policy for HTTP clients from now on. Call it on the event loop. */
    public void setHttpClientPolicy(HttpClientPolicy policy) {
        frontend.policy(policy);
    }

    /** Starts to record the outcomes of keyed writes and to answer queries for them. Call it on the event loop. */
    public void enableIdempotencyRecords(IdempotencyRecords records) {
        intake.setDeduplicator(new WriteDeduplicator<>(timers, records, Fingerprint::of));
        frontend.enableOutcomeQueries();
    }

    /** The listeners of the HTTP frontend; a {@link MultiLoopService} distributes connections to them. */
    public Listeners httpListeners() {
        return frontend.listeners();
    }

    /** Marks the proxy as ready to serve clients. Call it on the event loop. */
    void ready() {
        frontend.markReady();
        markServing();
    }

    /** Applies a host list that a {@link MultiLoopService} received from discovery. Call it on the event loop. */
    void applyHostList(ListUpdateKind kind, HostList list) {
        new DiscoveryListener().hosts(kind, list);
    }

    /** Reports that discovery failed for a {@link MultiLoopService}. Call it on the event loop. */
    void discoveryFailed() {
        platform.dispatcher().discoveryFailed();
    }

    /**
     * Handles a message from another proxy, or from another event loop of this process. Call it on the event loop.
     *
     * @param from index of the sender among the peers
     */
    void peerMessage(int from, byte[] contents) {
        if (ignoredPeers.test(from) && (ConnectionReleaseRequests.isReleaseRequest(contents)
                || contents.length % Integer.BYTES != FLEET_MESSAGE_REMAINDER)) {
            return;
        }
        if (ConnectionReleaseRequests.isReleaseRequest(contents)) {
            pool.closeIdleLongerThan(node -> ConnectionReleaseRequests.isForNode(contents, node),
                    ConnectionReleaseRequests.IDLE_THRESHOLD_MS);
        } else if (contents.length % Integer.BYTES == FLEET_MESSAGE_REMAINDER) {
            // A lease or version message. The length of a routing policy message is a multiple of the key size.
            // Without listeners the message is dropped.
            fleetMessageListeners.forEach(to -> to.accept(from, contents));
        } else {
            platform.dispatcher().peerMessage(from, contents);
        }
    }

    /**
     * Ignores routing policy messages and connection release requests from the peers whose index matches. Lease and
     * version messages are still received. Call it on the event loop.
     */
    public void ignorePeers(IntPredicate from) {
        ignoredPeers = from;
    }

    /**
     * Adds a listener for lease and version messages of other proxies. It receives the sender's index among the peers
     * and the message. Call it on the event loop.
     */
    public void onFleetMessage(BiConsumer<Integer, byte[]> listener) {
        fleetMessageListeners.add(listener);
    }

    /** Sends a message to one other proxy, by its index among the peers. Call it on the event loop. */
    public void sendToPeer(int to, byte[] contents) {
        if (peers != null) {
            peers.send(to, contents);
        }
    }

    /** Adds a group of nodes with a routing policy of its own. Call it on the event loop. */
    public Group addGroup(String name, Settings settings, Router router, NodeBackend backend) {
        Group group = new Group(name, createUpstream(name, settings, router, backend, new LogFaults()));
        group.upstream.dispatcher().start();
        intake.addGroup(name, group.upstream.dispatcher());
        return group;
    }

    /** The default group: the platform's nodes. */
    public Group platform() {
        return new Group(Intake.PLATFORM_GROUP, platform);
    }

    /** A group of nodes: the platform's or an additional one. Call all methods on the event loop. */
    public final class Group {
        private final String name;
        private final Upstream upstream;

        private Group(String name, Upstream upstream) {
            this.name = name;
            this.upstream = upstream;
        }

        /** Replaces the nodes of the group; the list is complete. */
        public void setNodes(HostList list) {
            upstream.applyHostList(ListUpdateKind.FULL, list);
        }

        /** The nodes that accept requests according to the host list. */
        public List<String> listedNodes() {
            return upstream.router().listedNodes();
        }

        /** The nodes that currently get no requests because they could not be reached. */
        public List<String> unreachableNodes() {
            return upstream.router().unreachableNodes(timers.now());
        }

        /** Reports the result of a probe, sent by this or another proxy, to the routing policy. */
        public void probeEnded(String node, Outcome outcome, double tookMs) {
            upstream.dispatcher().probeEnded(node, outcome, tookMs);
        }

        /** Probes whether a node accepts requests. {@code done} receives the result on the event loop. */
        public void probe(String node, Consumer<Outcome> done) {
            upstream.backend().probe(node, config.settings().limits().connectTimeoutMs(),
                    (outcome, answer) -> done.accept(outcome));
        }

        /**
         * Removes the group: it and its nodes get no new requests. Attempts in progress run to their end.
         *
         * @param version version of the empty host list that replaces the current one
         */
        public void remove(long version) {
            intake.removeGroup(name);
            setNodes(new HostList(version, true, List.of()));
            nodeConnectionLimit.unregister(upstream.backend());
        }
    }

    /** The intake of new and queued requests. Call its methods on the event loop. */
    public Intake<Content> intake() {
        return intake;
    }

    /** Listens for HTTP at an additional address until {@link #stopListeningAt}. Do not call it on the event loop. */
    public void listen(InetSocketAddress address) throws IOException, InterruptedException {
        awaitBound(frontend.listen(Transport.TCP, address), address);
    }

    /** Stops accepting connections at an additional address. */
    public void stopListeningAt(InetSocketAddress address) {
        loop.execute(() -> frontend.stopListening(address));
    }

    /** The hosts of the platform's list after its last update. Call it on the event loop. */
    public List<HostList.Host> hosts() {
        return List.copyOf(hosts.values());
    }

    /**
     * Sets the listener that runs on the event loop after each update of the platform's host list. It replaces the
     * previous one.
     */
    public void onHostListChange(Runnable listener) {
        hostListListener = listener;
    }

    /**
     * The routing policy's current throttling level for the platform's nodes, 0 for none. Call it on the event loop.
     */
    public int throttleLevel() {
        return platform.router().admissionLevel();
    }

    /** The client connections of all frontends. */
    public ClientTable clients() {
        return clients;
    }

    /** The limit of connections to nodes, which all groups share. */
    public ConnectionLimit nodeConnectionLimit() {
        return nodeConnectionLimit;
    }

    /** Adds an action of another frontend that runs on the event loop when the proxy stops accepting connections. */
    public void onStopListening(Runnable action) {
        stopListeningActions.add(action);
    }

    /** The event loop that owns all state of the proxy. */
    public EventLoop loop() {
        return loop;
    }

    /**
     * Runs a task on the event loop between two requests, for example to apply new settings, and returns when it has
     * run. Do not call it on the event loop.
     */
    public void runOnLoop(Runnable task) {
        loop.submit(task).syncUninterruptibly();
    }

    /** Runs the code of a start without a deployment. The build archives the classes that this loads. */
    public static void runClassArchiveTraining() throws ConfigException, IOException, InterruptedException {
        ClassArchiveTraining.run();
    }

    /** Warms up the request path with requests that stay inside the process, before a proxy is started. */
    public static void warmUp(Config config) throws IOException, InterruptedException {
        boolean replacesOther = otherProcessServes(config, config.listen());
        Warmup.run(config.settings(), replacesOther ? null : config.peerListen(), replacesOther);
    }

    /**
     * Starts a proxy with the default routing policy. It queries discovery before it warms up: a response takes seconds
     * if a whole fleet restarts and queries at once, and the list that a restarted proxy remembers has many removed
     * hosts.
     */
    public static Service start(Config config) throws IOException, InterruptedException {
        return start(config, new BalancingRouter(config.settings(), config.seed()), () -> warmUp(config));
    }

    /** Starts a proxy with the given routing policy and preparation. */
    static Service start(Config config, Router router, Preparation preparation)
            throws IOException, InterruptedException {
        return new Service(config, router, new PlatformAdmissionController(config.settings()))
                .openOrShutDown(preparation);
    }

    /** Runs during a start, after the query to discovery and before the proxy accepts clients. */
    interface Preparation {
        void run() throws IOException, InterruptedException;
    }

    /** Starts a proxy with the given routing policy and without a warm-up. */
    public static Service start(Config config, Router router) throws IOException, InterruptedException {
        return start(config, router, new PlatformAdmissionController(config.settings()));
    }

    /** Starts a proxy with the given admission controller and without a warm-up. */
    public static Service start(Config config, Router router, AdmissionController admission)
            throws IOException, InterruptedException {
        return start(config, router, admission, service -> { });
    }

    /**
     * Starts a proxy like {@link #start(Config, Router, AdmissionController)} and runs {@code beforeClients} with it
     * before it accepts clients, not on its event loop.
     */
    public static Service start(Config config, Router router, AdmissionController admission,
            Consumer<Service> beforeClients) throws IOException, InterruptedException {
        Service service = new Service(config, router, admission);
        return service.openOrShutDown(() -> beforeClients.accept(service));
    }

    /**
     * Opens the proxy; runs {@code preparation} before it accepts clients. Ends the event loop if it cannot be opened.
     */
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
            consoleListenAddress = (InetSocketAddress) awaitBound(console.listen(config.console()), config.console())
                    .channel().localAddress();
        }
        // The routing policy gets the remembered list before the first client can connect. Discovery is then queried
        // for a newer list.
        loop.submit(this::startDispatcher).sync();
        loop.execute(discovery::start);
        loop.execute(() -> startupStage = startupStage.advanceTo(Readiness.WARMING_UP));
        preparation.run();
        if (peers != null) {
            awaitBound(peers.listen(isShared()), config.peerListen());
        }
        listenAddress = (InetSocketAddress) awaitBound(
                frontend.listen(isShared() ? Transport.SHARED_TCP : Transport.TCP, config.listen()), config.listen())
                .channel().localAddress();
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

    /** Waits until a listener is bound. Throws if the address cannot be bound. */
    public static ChannelFuture awaitBound(ChannelFuture bound, InetSocketAddress address)
            throws IOException, InterruptedException {
        bound.await();
        if (!bound.isSuccess()) {
            throw listenFailure(address, bound.cause());
        }
        return bound;
    }

    /**
     * Checks early that no other process listens at the address. Binds it without listening, because a client that
     * connected now would wait until the start is complete.
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

    /** The address at which messages from peers arrive. */
    public InetSocketAddress peerListenAddress() {
        return peers.listenAddress();
    }

    /** The address of the console for operators; null if there is none. */
    public InetSocketAddress consoleListenAddress() {
        return consoleListenAddress;
    }

    /**
     * Whether another process of this proxy may listen at its addresses too. This needs a console, at which operators
     * see which of them serves.
     */
    private boolean isShared() {
        return config.console() != null;
    }

    private boolean readyToServe() {
        return startupStage == Readiness.WAITING_FOR_LIST && frontend.isUp();
    }

    /** Whether another process of this proxy serves at this address. */
    private static boolean otherProcessServes(Config config, InetSocketAddress address) {
        return config.console() != null && ServingProcessFile.of(address).otherProcess().isPresent();
    }

    /**
     * Records that this process serves. This happens before the console shows it, because the other one is ended then.
     */
    private void markServing() {
        if (isShared() && !recordedAsServing && readyToServe()) {
            recordedAsServing = true;
            ServingProcessFile.of(listenAddress).recordThisProcess();
        }
    }

    /** Whether clients may connect, and if not, why. Called on the event loop. */
    private Readiness readiness() {
        return clients.isDraining() ? Readiness.DRAINING
                : readyToServe() ? Readiness.SERVING : startupStage;
    }

    /** Called on the event loop. */
    private ProxyMetrics metrics() {
        String originModel = config.settings().originModel();
        List<String> nodes = hosts.values().stream()
                .filter(h -> originModel == null || !originModel.equals(h.node().model()))
                .map(h -> h.node().id()).toList();
        Map<String, Long> all = new TreeMap<>();
        additionalMetrics.forEach(supplier -> all.putAll(supplier.get()));
        return ProxyMetrics.of(intake.counters(), config.settings().classes().stream().map(ServiceClass::name).toList(),
                intake.pendingRequests(), nodes, id -> platform.router().isExcluded(timers.now(), id), all);
    }

    /**
     * Adds counters, by name, to the console's metrics. Call it on the event loop; the supplier is called there too.
     */
    public void addMetrics(Supplier<Map<String, Long>> supplier) {
        additionalMetrics.add(supplier);
    }

    /** The address at which clients connect. */
    public InetSocketAddress listenAddress() {
        return listenAddress;
    }

    /**
     * Reloads the configuration file. A running proxy can change only the address of discovery. An unreadable file
     * changes nothing. Returns at once, because it is called by the thread that handles the signal.
     */
    public void reload(Map<String, String> environment) {
        try {
            loop.execute(() -> reloadOnLoop(environment));
        } catch (RejectedExecutionException e) {
            Log.info("configuration not reloaded: the proxy has shut down");
        }
    }

    private void reloadOnLoop(Map<String, String> environment) {
        reloadDiscovery(environment, discovery);
    }

    /** Reads the configuration again and applies a new discovery address. Called on the event loop of the watch. */
    static void reloadDiscovery(Map<String, String> environment, Discovery discovery) {
        try {
            Config next = Config.reread(environment);
            Log.info("configuration reloaded: discovery address is " + next.discovery());
            discovery.moveTo(next.discovery());
        } catch (ConfigException e) {
            Log.info("configuration not reloaded, the current one is kept: " + e.getMessage());
        }
    }

    /** Shuts the proxy down and returns once no request is pending. */
    public void drain() {
        drainThen(() -> { });
    }

    /**
     * Like {@link #drain}; runs {@code action} on a thread of its own once no request is pending and before the event
     * loop ends. Do not call it on the event loop.
     */
    public void drainThen(Runnable action) {
        afterDrain = action;
        shutDown(ShutdownPlan.of(otherProcessServes(config, listenAddress), config.settings().classes()));
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Starts the shutdown according to a plan; returns at once. */
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

    /** Still serves every client, but closes each connection after its next response. */
    void beginDrain() {
        Log.info("draining");
        loop.execute(clients::drain);
    }

    /** Runs the actions once: a plan may stop listening before the drain ends. */
    private void stopListening() {
        stopListeningActions.forEach(Runnable::run);
        stopListeningActions.clear();
    }

    /** Accepts no more connections, and ends the proxy when all accepted requests are answered. */
    void endDrain() {
        loop.execute(() -> {
            stopListening();
            clients.startClosingIdle();
            // Requests that wait in a socket are read first: the loop runs a scheduled task only after its sockets.
            loop.schedule(this::closeIdleConnections, 0, TimeUnit.NANOSECONDS);
        });
    }

    private void closeIdleConnections() {
        clients.closeIdleConnections();
        shutDownWhenIdle();
    }

    /**
     * Status of a running proxy: counts of requests and their results since the start, and current values.
     *
     * <p>Written as JSON: the component names are part of the output.
     *
     * @param owed pending requests, without a final response yet
     * @param clients connections from clients
     * @param nodes connections to nodes
     * @param level current throttling level of the routing policy, 0 for none
     * @param reasons counts of refused and failed requests, by class and by the reason's stable name
     */
    public record Status(long requests, long served, long refused, long failed, long gone, int owed, int clients,
                         int nodes, int level, Map<String, Map<String, Long>> reasons) {

        /** The sum of the status of two event loops. The level is the higher one of both. */
        Status plus(Status other) {
            return new Status(requests + other.requests, served + other.served, refused + other.refused,
                    failed + other.failed, gone + other.gone, owed + other.owed, clients + other.clients,
                    nodes + other.nodes, Math.max(level, other.level), sum(reasons, other.reasons));
        }

        private static Map<String, Map<String, Long>> sum(Map<String, Map<String, Long>> a,
                Map<String, Map<String, Long>> b) {
            Map<String, Map<String, Long>> sum = new TreeMap<>();
            for (Map<String, Map<String, Long>> counts : List.of(a, b)) {
                counts.forEach((service, byReason) -> byReason.forEach((reason, n) ->
                        sum.computeIfAbsent(service, s -> new TreeMap<>()).merge(reason, n, Long::sum)));
            }
            return sum;
        }

        static Status of(Counts counts, int level) {
            RequestCounters counters = counts.counters();
            return new Status(counters.requests(), counters.served(), counters.refused(), counters.failed(),
                    counters.gone(), counts.pending(), counts.clients(), counts.nodes(), level, counters.reasons());
        }
    }

    /** Reads the status on the event loop. Do not call it on the event loop. */
    public Status status() {
        return loop.submit(() -> Status.of(counts(), throttleLevel())).syncUninterruptibly().getNow();
    }

    /** Ends at once, even if requests are pending. */
    public void kill() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Waits until the last responses are written. A client's connection closes after its last response. */
    private void shutDownWhenIdle() {
        if (intake.pendingRequests() > 0 || clients.size() > 0) {
            loop.schedule(this::shutDownWhenIdle, DRAIN_POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
        } else {
            if (discovery != null) {
                logCounters();
            }
            // On a thread of its own, because the action may need the event loop.
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

    /** The counters that are logged at intervals. Created on the event loop. */
    record Counts(RequestCounters counters, int pending, int clients, int nodes) {

        static final Counts NONE = new Counts(new RequestCounters(), 0, 0, 0);

        Counts plus(Counts other) {
            return new Counts(new RequestCounters().add(counters).add(other.counters), pending + other.pending,
                    clients + other.clients, nodes + other.nodes);
        }

        @Override
        public String toString() {
            return counters + " owed=" + pending + " clients=" + clients + " nodes=" + nodes;
        }
    }

    /** Call it on the event loop. */
    Counts counts() {
        return new Counts(intake.counters(), intake.pendingRequests(), clients.size(),
                nodeConnectionLimit.openConnections());
    }

    private void startDispatcher() {
        // With a fixed delay, not at a fixed rate: a stall is then reported by one tick.
        loop.scheduleWithFixedDelay(() -> deadlines.loopStalls().tick(timers.now()), 0,
                (long) LoopStallDetector.TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
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

    /** Applies updates from discovery. */
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
