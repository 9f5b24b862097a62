package ridgemill.gateway;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.IntFunction;
import ridgemill.core.AdmissionController;
import ridgemill.gateway.front.ConnectionAcceptor;
import ridgemill.gateway.front.Listeners;
import ridgemill.gateway.membership.Discovery;
import ridgemill.gateway.membership.HostList;
import ridgemill.gateway.net.Addresses;
import ridgemill.gateway.net.Clock;
import ridgemill.gateway.net.Log;
import ridgemill.gateway.net.LoopGroup;
import ridgemill.gateway.net.SocketKind;
import ridgemill.gateway.net.Transport;
import ridgemill.loops.ConnectionDistributor;
import ridgemill.policy.Router.ListUpdateKind;
import ridgemill.policy.Router.Settings;
import ridgemill.policy.Router;
import ridgemill.succession.ShutdownPlan;

/**
 * Runs several event loops in one process. Each loop is a complete proxy with its own routing policy and state: the
 * request path shares no state between loops and takes no locks. Messages that proxies of a tier exchange by datagram
 * are exchanged between loops as tasks on the receiver's event loop. One additional loop, the acceptor loop, owns the
 * resources that a process has once: the listeners, the discovery watch and the socket for peers. It distributes
 * connections and forwards updates.
 *
 * <p>This class is not loaded if a single event loop serves.
 */
public final class MultiLoopService {

    /** File descriptors of an event loop itself: its selector, its wake-up descriptor and its timer. */
    private static final int DESCRIPTORS_PER_LOOP = 3;
    /** Interval of the tasks that measure how late an event loop runs a task. */
    private static final long TICK_INTERVAL_MS = 50;
    /** Interval of the checks for stalled event loops. */
    private static final long LOOP_CHECK_INTERVAL_MS = 500;

    private final LoopGroup group = new LoopGroup(1, SocketKind.chosen().handlers());
    private final EventLoop acceptorLoop = group.next();
    private final Clock clock = new Clock();
    private final CountDownLatch ended = new CountDownLatch(1);
    private final Config config;
    private final List<Service> members = new ArrayList<>();
    private final ConnectionAcceptor acceptor;
    private final Discovery discovery;
    private final PeerMessenger peers;
    private final boolean[] tickPending;
    private InetSocketAddress listenAddress;

    private MultiLoopService(Config config, int loops, Function<Settings, Router> routerFactory,
            IntFunction<AdmissionController> admissionFactory) {
        this.config = config;
        int reserved = Service.RESERVED_DESCRIPTORS + DESCRIPTORS_PER_LOOP * loops;
        tickPending = new boolean[loops];
        int[] maxConnections = new int[loops];
        for (int i = 0; i < loops; i++) {
            Config memberConfig = config.forLoop(i, loops, reserved);
            members.add(Service.createMember(memberConfig, routerFactory.apply(memberConfig.settings()),
                    admissionFactory.apply(i), new Member(i)));
            maxConnections[i] = members.get(i).clients().maxConnections();
        }
        acceptor = new ConnectionAcceptor(acceptorLoop, clock, new ConnectionDistributor(maxConnections, clock.now()));
        discovery = new Discovery(acceptorLoop, config.discovery(), config.knownHosts(),
                !config.settings().mustSubscribe(), new DiscoveryListener());
        peers = config.peerListen() == null ? null : new PeerMessenger(acceptorLoop, config, this::peerMessage);
    }

    /**
     * Starts a proxy of several event loops, without a warm-up.
     *
     * @param loops number of event loops that serve, at least 2; the acceptor loop is not counted
     * @param routerFactory creates the routing policy of a loop from its settings
     * @param admissionFactory creates the admission controller of a loop from its index
     */
    public static MultiLoopService start(Config config, int loops, Function<Settings, Router> routerFactory,
            IntFunction<AdmissionController> admissionFactory) throws IOException, InterruptedException {
        if (loops < 2) {
            throw new IllegalArgumentException("at least two event loops are required: " + loops);
        }
        MultiLoopService service = new MultiLoopService(config, loops, routerFactory, admissionFactory);
        try {
            service.open();
        } catch (IOException e) {
            service.kill();
            throw e;
        }
        return service;
    }

    private void open() throws IOException, InterruptedException {
        if (peers != null) {
            Service.awaitBound(peers.listen(false), config.peerListen());
        }
        members.forEach(Service::startMember);
        listenAddress = listen(config.listen(), Service::httpListeners);
        Log.info("listening on " + Addresses.text(listenAddress) + " for " + members.size() + " loops");
        acceptorLoop.execute(discovery::start);
        long waitMs = config.settings().mustSubscribe() ? 0 : Service.DISCOVERY_WAIT_MS;
        acceptorLoop.schedule(() -> forEachMember(Service::ready), waitMs, TimeUnit.MILLISECONDS);
        acceptorLoop.scheduleAtFixedRate(this::sendTicks, TICK_INTERVAL_MS, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        acceptorLoop.scheduleAtFixedRate(acceptor::checkLoops, LOOP_CHECK_INTERVAL_MS, LOOP_CHECK_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
        acceptorLoop.scheduleAtFixedRate(this::logCounters, Service.COUNTERS_LOG_INTERVAL_S,
                Service.COUNTERS_LOG_INTERVAL_S, TimeUnit.SECONDS);
    }

    /**
     * Sends each event loop a task to measure how late it runs. The acceptor loop sends it, not the loop itself: a task
     * that a loop schedules for itself runs between two of its iterations, however long those take.
     */
    private void sendTicks() {
        for (int i = 0; i < members.size(); i++) {
            if (tickPending[i]) {
                continue;
            }
            int loop = i;
            double sent = clock.now();
            tickPending[i] = true;
            runOnMember(members.get(i), () -> {
                double delayMs = clock.now() - sent;
                runOnAcceptorLoop(() -> {
                    tickPending[loop] = false;
                    acceptor.reportDelay(loop, delayMs);
                });
            });
        }
    }

    /**
     * Listens at an address until {@link #stopListeningAt} and distributes its connections to the members. Do not call
     * it on an event loop.
     *
     * @param listenersOf returns the listeners of a member that get the connections
     */
    public InetSocketAddress listen(InetSocketAddress address, Function<Service, Listeners> listenersOf)
            throws IOException, InterruptedException {
        List<Listeners> listeners = members.stream().map(listenersOf).toList();
        return (InetSocketAddress) Service.awaitBound(acceptor.listen(Transport.TCP, address, listeners), address)
                .channel().localAddress();
    }

    /** Stops accepting connections at an address. */
    public void stopListeningAt(InetSocketAddress address) {
        runOnAcceptorLoop(() -> acceptor.stopListening(address));
    }

    /** The address at which clients connect. */
    public InetSocketAddress listenAddress() {
        return listenAddress;
    }

    /** The proxies of the event loops, by index. */
    public List<Service> members() {
        return List.copyOf(members);
    }

    /** The event loop that owns the resources which the process has once. */
    public EventLoop acceptorLoop() {
        return acceptorLoop;
    }

    /** Describes the state of each event loop in one line. Do not call it on an event loop. */
    public List<String> describeLoops() {
        return acceptorLoop.submit(acceptor::describeLoops).syncUninterruptibly().getNow();
    }

    private void forEachMember(Consumer<Service> task) {
        for (Service m : members) {
            runOnMember(m, () -> task.accept(m));
        }
    }

    /** Runs a task on a member's event loop; does nothing if the member has ended. */
    private static void runOnMember(Service member, Runnable task) {
        try {
            member.loop().execute(task);
        } catch (RejectedExecutionException e) {
            return;
        }
    }

    private void runOnAcceptorLoop(Runnable task) {
        try {
            acceptorLoop.execute(task);
        } catch (RejectedExecutionException e) {
            return;
        }
    }

    /**
     * Forwards a message from another process of the tier. Its event loops cannot be told apart, so its first loop
     * counts as the sender.
     */
    private void peerMessage(int from, byte[] contents) {
        forEachMember(m -> m.peerMessage(from * members.size(), contents));
    }

    /** Reloads the configuration like {@link Service#reload}. */
    public void reload(Map<String, String> environment) {
        runOnAcceptorLoop(() -> Service.reloadDiscovery(environment, discovery));
    }

    /** The status over all event loops; its level is the highest of any loop. Do not call it on an event loop. */
    public Service.Status status() {
        return members.stream().map(Service::status).reduce(Service.Status::plus).orElseThrow();
    }

    /**
     * Logs one line for all event loops. The counters are collected by a task on each loop, so that a stalled loop does
     * not block the acceptor loop.
     */
    private void logCounters() {
        CompletableFuture<Service.Counts> sum = CompletableFuture.completedFuture(Service.Counts.NONE);
        for (Service m : members) {
            sum = sum.thenCombine(CompletableFuture.supplyAsync(m::counts, t -> runOnMember(m, t)),
                    Service.Counts::plus);
        }
        sum.thenAccept(c -> Log.info(c.toString()));
    }

    /**
     * Shuts the process down and returns once no request is pending on any event loop. Do not call it on an event loop.
     *
     * @param action runs once no request is pending
     */
    public void drainThen(Runnable action) {
        Log.info("draining");
        forEachMember(m -> m.clients().drain());
        try {
            Thread.sleep((long) ShutdownPlan.WITHOUT_SUCCESSOR.idleMs());
            // The acceptor first: a connection that it has distributed reaches its event loop before the shutdown does.
            acceptorLoop.submit(acceptor::close).sync();
            members.forEach(Service::endDrain);
            for (Service m : members) {
                m.awaitEnd();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        action.run();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).addListener(f -> ended.countDown());
    }

    /** Waits until the proxy has ended. */
    public void awaitEnd() throws InterruptedException {
        ended.await();
    }

    /** Ends at once, even if requests are pending. */
    public void kill() {
        members.forEach(Service::kill);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        ended.countDown();
    }

    /** Connects one event loop to the shared resources. */
    private final class Member implements Service.MemberContext {
        private final int index;

        Member(int index) {
            this.index = index;
        }

        /** Only the first member subscribes, for all of them. It also receives a failure of discovery. */
        @Override
        public void subscribe() {
            if (index == 0) {
                runOnAcceptorLoop(discovery::subscribe);
            }
        }

        @Override
        public void broadcast(byte[] contents) {
            int from = config.settings().proxyIndex() * members.size() + index;
            for (int i = 0; i < members.size(); i++) {
                if (i != index) {
                    Service other = members.get(i);
                    runOnMember(other, () -> other.peerMessage(from, contents));
                }
            }
            if (peers != null) {
                runOnAcceptorLoop(() -> peers.send(contents));
            }
        }

        /**
         * The member keeps serving without its routing policy until its clients have moved to other loops: each
         * connection is closed after its next response.
         */
        @Override
        public void failed() {
            runOnAcceptorLoop(() -> acceptor.retire(index));
            members.get(index).clients().drain();
            Log.info("loop " + index + " is retired after an error; " + (members.size() - 1)
                    + " other loops still serve");
        }
    }

    /** Forwards updates from discovery. The list is immutable; each event loop applies it when it runs the task. */
    private final class DiscoveryListener implements Discovery.Listener {
        @Override
        public void hosts(ListUpdateKind kind, HostList list) {
            forEachMember(m -> m.applyHostList(kind, list));
        }

        @Override
        public void refused() {
            runOnMember(members.get(0), members.get(0)::discoveryFailed);
        }

        @Override
        public void heard() {
            forEachMember(Service::ready);
        }
    }
}
