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
    private static final int LOOP_SOCKETS = 3;
    private static final long BEAT_MS = 50;
    private static final long LOOK_MS = 500;

    private final LoopGroup group = new LoopGroup(1, SocketKind.chosen().handlers());
    private final EventLoop door = group.next();
    private final Clock clock = new Clock();
    private final CountDownLatch ended = new CountDownLatch(1);
    private final Config config;
    private final List<Service> members = new ArrayList<>();
    private final ConnectionAcceptor dealer;
    private final Discovery discovery;
    private final PeerMessenger peers;
    private final boolean[] beating;
    private InetSocketAddress listening;

    private MultiLoopService(Config config, int loops, Function<Settings, Router> routers, IntFunction<AdmissionController> gates) {
        this.config = config;
        int reserved = Service.RESERVED_DESCRIPTORS + LOOP_SOCKETS * loops;
        beating = new boolean[loops];
        int[] most = new int[loops];
        for (int i = 0; i < loops; i++) {
            Config part = config.forLoop(i, loops, reserved);
            members.add(Service.createMember(part, routers.apply(part.settings()), gates.apply(i), new Member(i)));
            most[i] = members.get(i).clients().maxConnections();
        }
        dealer = new ConnectionAcceptor(door, clock, new ConnectionDistributor(most, clock.now()));
        discovery = new Discovery(door, config.discovery(), config.knownHosts(), !config.settings().mustSubscribe(), new DiscoveryListener());
        peers = config.peerListen() == null ? null : new PeerMessenger(door, config, this::peerMessage);
    }

    /**
     * Starts one without a warm-up.
     *
     * @param loops how many serve, 2 or more; the door comes to them
     * @param routers makes the decisions of a loop from its settings
     * @param gates makes the gate of a loop from its number
     */
    public static MultiLoopService start(Config config, int loops, Function<Settings, Router> routers, IntFunction<AdmissionController> gates)
            throws IOException, InterruptedException {
        if (loops < 2) {
            throw new IllegalArgumentException("a crew has at least two loops: " + loops);
        }
        MultiLoopService crew = new MultiLoopService(config, loops, routers, gates);
        try {
            crew.open();
        } catch (IOException e) {
            crew.kill();
            throw e;
        }
        return crew;
    }

    private void open() throws IOException, InterruptedException {
        if (peers != null) {
            Service.awaitBound(peers.listen(false), config.peerListen());
        }
        members.forEach(Service::startMember);
        listening = listen(config.listen(), Service::httpListeners);
        Log.info("listening on " + Addresses.text(listening) + " for " + members.size() + " loops");
        door.execute(discovery::start);
        long patience = config.settings().mustSubscribe() ? 0 : Service.DISCOVERY_WAIT_MS;
        door.schedule(() -> each(Service::ready), patience, TimeUnit.MILLISECONDS);
        door.scheduleAtFixedRate(this::beat, BEAT_MS, BEAT_MS, TimeUnit.MILLISECONDS);
        door.scheduleAtFixedRate(dealer::checkLoops, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
        door.scheduleAtFixedRate(this::logTally, Service.COUNTERS_LOG_INTERVAL_S, Service.COUNTERS_LOG_INTERVAL_S, TimeUnit.SECONDS);
    }

    /**
     * Hands each loop a task at intervals, to see how late it takes it up. By the door's time and not the loop's own: what a loop
     * schedules for itself comes up between two of its turns, however long those are.
     */
    private void beat() {
        for (int i = 0; i < members.size(); i++) {
            if (beating[i]) {
                continue;
            }
            int loop = i;
            double sent = clock.now();
            beating[i] = true;
            to(members.get(i), () -> {
                double late = clock.now() - sent;
                toDoor(() -> {
                    beating[loop] = false;
                    dealer.reportDelay(loop, late);
                });
            });
        }
    }

    /** Listens at an address until {@link #stopListeningAt}, and deals its connections to these fronts; not on a loop. */
    public InetSocketAddress listen(InetSocketAddress address, Function<Service, Listeners> fronts)
            throws IOException, InterruptedException {
        List<Listeners> each = members.stream().map(fronts).toList();
        return (InetSocketAddress) Service.awaitBound(dealer.listen(Transport.TCP, address, each), address).channel().localAddress();
    }

    /** No new connections at an address. */
    public void stopListeningAt(InetSocketAddress address) {
        toDoor(() -> dealer.stopListening(address));
    }

    /** Where clients connect. */
    public InetSocketAddress listenAddress() {
        return listening;
    }

    /** The loops' proxies, in their order. */
    public List<Service> members() {
        return List.copyOf(members);
    }

    /** The loop that has what the process has once. */
    public EventLoop acceptorLoop() {
        return door;
    }

    /** What is known of each loop, a line each. Not to be called on a loop. */
    public List<String> describeLoops() {
        return door.submit(dealer::describeLoops).syncUninterruptibly().getNow();
    }

    private void each(Consumer<Service> task) {
        for (Service m : members) {
            to(m, () -> task.accept(m));
        }
    }

    /** One that has ended hears nothing more. */
    private static void to(Service member, Runnable task) {
        try {
            member.loop().execute(task);
        } catch (RejectedExecutionException e) {
            return;
        }
    }

    private void toDoor(Runnable task) {
        try {
            door.execute(task);
        } catch (RejectedExecutionException e) {
            return;
        }
    }

    /** Another process of the tier speaks; its loops can't be told apart, so the message counts as its first one's. */
    private void peerMessage(int from, byte[] contents) {
        each(m -> m.peerMessage(from * members.size(), contents));
    }

    /** Reads the configuration again, as {@link Service#reload} does. */
    public void reload(Map<String, String> environment) {
        toDoor(() -> Service.reloadDiscovery(environment, discovery));
    }

    /** What the process says of itself, over all loops; the level is the highest of any. Not to be called on a loop. */
    public Service.Status status() {
        return members.stream().map(Service::status).reduce(Service.Status::plus).orElseThrow();
    }

    /** One line for all loops; a loop that is stuck must not hold up the door, so each is asked in turn by tasks. */
    private void logTally() {
        CompletableFuture<Service.Counts> sum = CompletableFuture.completedFuture(Service.Counts.NONE);
        for (Service m : members) {
            sum = sum.thenCombine(CompletableFuture.supplyAsync(m::counts, t -> to(m, t)), Service.Counts::plus);
        }
        sum.thenAccept(c -> Log.info(c.toString()));
    }

    /**
     * Ends the process's service once no loop owes anything, and returns then. Not to be called on a loop.
     *
     * @param last what is to be done when nothing is owed any more
     */
    public void drainThen(Runnable last) {
        Log.info("draining");
        each(m -> m.clients().drain());
        try {
            Thread.sleep((long) ShutdownPlan.WITHOUT_SUCCESSOR.idleMs());
            // The door first: a connection that it dealt is with its loop before that hears of the end.
            door.submit(dealer::close).sync();
            members.forEach(Service::endDrain);
            for (Service m : members) {
                m.awaitEnd();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        last.run();
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
                toDoor(discovery::subscribe);
            }
        }

        @Override
        public void broadcast(byte[] contents) {
            int from = config.settings().proxyIndex() * members.size() + index;
            for (int i = 0; i < members.size(); i++) {
                if (i != index) {
                    Service other = members.get(i);
                    to(other, () -> other.peerMessage(from, contents));
                }
            }
            if (peers != null) {
                toDoor(() -> peers.send(contents));
            }
        }

        /** It serves on without its decisions until its clients have gone to others: each answer is its connection's last. */
        @Override
        public void failed() {
            toDoor(() -> dealer.retire(index));
            members.get(index).clients().drain();
            Log.info("loop " + index + " is retired after an error; " + (members.size() - 1) + " others serve on");
        }
    }

    /** Passes on what discovery tells: the list is immutable, and each loop takes it in when its turn comes. */
    private final class DiscoveryListener implements Discovery.Listener {
        @Override
        public void hosts(ListUpdateKind kind, HostList list) {
            each(m -> m.applyHostList(kind, list));
        }

        @Override
        public void refused() {
            to(members.get(0), members.get(0)::discoveryFailed);
        }

        @Override
        public void heard() {
            each(Service::ready);
        }
    }
}
