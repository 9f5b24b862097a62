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
 * One process of several event loops, each a complete proxy with decisions and state of its own: nothing is shared on a
 * request's path, and nothing is locked. What proxies of a tier tell one another by datagram, the loops tell one another
 * through memory, as tasks on each other's loops. One more loop, the door, has what a process has once: listeners,
 * discovery's watch, the peers' socket; it deals connections out and passes news on.
 *
 * <p>Not loaded where one loop serves.
 */
public final class MultiLoopService {

    /** A loop's own descriptors: what it waits with, what wakes it, its timer. */
    private static final int DESCRIPTORS_PER_LOOP = 3;
    private static final long TICK_INTERVAL_MS = 50;
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

    private MultiLoopService(Config config, int loops, Function<Settings, Router> routerFactory, IntFunction<AdmissionController> admissionFactory) {
        this.config = config;
        int reserved = Service.RESERVED_DESCRIPTORS + DESCRIPTORS_PER_LOOP * loops;
        tickPending = new boolean[loops];
        int[] maxConnections = new int[loops];
        for (int i = 0; i < loops; i++) {
            Config memberConfig = config.forLoop(i, loops, reserved);
            members.add(Service.createMember(memberConfig, routerFactory.apply(memberConfig.settings()), admissionFactory.apply(i), new Member(i)));
            maxConnections[i] = members.get(i).clients().maxConnections();
        }
        acceptor = new ConnectionAcceptor(acceptorLoop, clock, new ConnectionDistributor(maxConnections, clock.now()));
        discovery = new Discovery(acceptorLoop, config.discovery(), config.knownHosts(), !config.settings().mustSubscribe(), new DiscoveryListener());
        peers = config.peerListen() == null ? null : new PeerMessenger(acceptorLoop, config, this::peerMessage);
    }

    /**
     * Starts one without a warm-up.
     *
     * @param loops how many serve, 2 or more; the door comes to them
     * @param routerFactory makes the decisions of a loop from its settings
     * @param admissionFactory makes the gate of a loop from its number
     */
    public static MultiLoopService start(Config config, int loops, Function<Settings, Router> routerFactory, IntFunction<AdmissionController> admissionFactory)
            throws IOException, InterruptedException {
        if (loops < 2) {
            throw new IllegalArgumentException("a crew has at least two loops: " + loops);
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
        long patience = config.settings().mustSubscribe() ? 0 : Service.DISCOVERY_WAIT_MS;
        acceptorLoop.schedule(() -> forEachMember(Service::ready), patience, TimeUnit.MILLISECONDS);
        acceptorLoop.scheduleAtFixedRate(this::sendTicks, TICK_INTERVAL_MS, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        acceptorLoop.scheduleAtFixedRate(acceptor::checkLoops, LOOP_CHECK_INTERVAL_MS, LOOP_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        acceptorLoop.scheduleAtFixedRate(this::logCounters, Service.COUNTERS_LOG_INTERVAL_S, Service.COUNTERS_LOG_INTERVAL_S, TimeUnit.SECONDS);
    }

    /**
     * Hands each loop a task at intervals, to see how late it takes it up. By the door's time and not the loop's own: what a loop
     * schedules for itself comes up between two of its turns, however long those are.
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

    /** Listens at an address until {@link #stopListeningAt}, and deals its connections to these fronts; not on a loop. */
    public InetSocketAddress listen(InetSocketAddress address, Function<Service, Listeners> listenersOf)
            throws IOException, InterruptedException {
        List<Listeners> listeners = members.stream().map(listenersOf).toList();
        return (InetSocketAddress) Service.awaitBound(acceptor.listen(Transport.TCP, address, listeners), address).channel().localAddress();
    }

    /** No new connections at an address. */
    public void stopListeningAt(InetSocketAddress address) {
        runOnAcceptorLoop(() -> acceptor.stopListening(address));
    }

    /** Where clients connect. */
    public InetSocketAddress listenAddress() {
        return listenAddress;
    }

    /** The loops' proxies, in their order. */
    public List<Service> members() {
        return List.copyOf(members);
    }

    /** The loop that has what the process has once. */
    public EventLoop acceptorLoop() {
        return acceptorLoop;
    }

    /** What is known of each loop, a line each. Not to be called on a loop. */
    public List<String> describeLoops() {
        return acceptorLoop.submit(acceptor::describeLoops).syncUninterruptibly().getNow();
    }

    private void forEachMember(Consumer<Service> task) {
        for (Service m : members) {
            runOnMember(m, () -> task.accept(m));
        }
    }

    /** One that has ended hears nothing more. */
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

    /** Another process of the tier speaks; its loops can't be told apart, so the message counts as its first one's. */
    private void peerMessage(int from, byte[] contents) {
        forEachMember(m -> m.peerMessage(from * members.size(), contents));
    }

    /** Reads the configuration again, as {@link Service#reload} does. */
    public void reload(Map<String, String> environment) {
        runOnAcceptorLoop(() -> Service.reloadDiscovery(environment, discovery));
    }

    /** What the process says of itself, over all loops; the level is the highest of any. Not to be called on a loop. */
    public Service.Status status() {
        return members.stream().map(Service::status).reduce(Service.Status::plus).orElseThrow();
    }

    /** One line for all loops; a loop that is stuck must not hold up the door, so each is asked in turn by tasks. */
    private void logCounters() {
        CompletableFuture<Service.Counts> sum = CompletableFuture.completedFuture(Service.Counts.NONE);
        for (Service m : members) {
            sum = sum.thenCombine(CompletableFuture.supplyAsync(m::counts, t -> runOnMember(m, t)), Service.Counts::plus);
        }
        sum.thenAccept(c -> Log.info(c.toString()));
    }

    /**
     * Ends the process's service once no loop owes anything, and returns then. Not to be called on a loop.
     *
     * @param action what is to be done when nothing is owed any more
     */
    public void drainThen(Runnable action) {
        Log.info("draining");
        forEachMember(m -> m.clients().drain());
        try {
            Thread.sleep((long) ShutdownPlan.WITHOUT_SUCCESSOR.idleMs());
            // The door first: a connection that it dealt is with its loop before that hears of the end.
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

    /** Waits until the service has ended. */
    public void awaitEnd() throws InterruptedException {
        ended.await();
    }

    /** Ends at once, whatever is owed. */
    public void kill() {
        members.forEach(Service::kill);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        ended.countDown();
    }

    /** What one loop has of the world. */
    private final class Member implements Service.MemberContext {
        private final int index;

        Member(int index) {
            this.index = index;
        }

        /** Where discovery is asked, one loop's asking serves all, and it hears of a failure. */
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

        /** It serves on without its decisions until its clients have gone to others: each answer is its connection's last. */
        @Override
        public void failed() {
            runOnAcceptorLoop(() -> acceptor.retire(index));
            members.get(index).clients().drain();
            Log.info("loop " + index + " is retired after an error; " + (members.size() - 1) + " others serve on");
        }
    }

    /** Passes on what discovery tells: the list is immutable, and each loop takes it in when its turn comes. */
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
