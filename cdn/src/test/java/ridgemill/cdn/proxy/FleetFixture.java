package ridgemill.cdn.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import ridgemill.cdn.config.RouteKind;
import ridgemill.cdn.membership.CacheNode;
import ridgemill.cdn.membership.Fleet;
import ridgemill.cdn.membership.FleetPosition;
import ridgemill.cdn.proxy.control.ControlListener;
import ridgemill.cdn.settings.Bounds;
import ridgemill.cdn.settings.Settings;
import ridgemill.gateway.net.SocketKind;

/**
 * Several edge proxies and two shared caches that share the limits of one service, on one event loop, with stub
 * instances and plain client sockets.
 */
final class FleetFixture implements AutoCloseable {

    private static final long CACHE_BYTES = 1_000_000;
    private static final int FILE_DESCRIPTORS = 1_000;
    private static final int CACHES = 2;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final AdvanceableTimers timers = new AdvanceableTimers(loop);
    private final double ratePerSecond;
    private final int connectionCap;
    final List<CacheNode> nodes = new ArrayList<>();
    private final List<DataPath> caches = new ArrayList<>();
    private final List<FakeControl> controls = new ArrayList<>();
    private final List<DataPath> proxies = new ArrayList<>();
    private final List<StubInstance> instances = new ArrayList<>();
    private final List<Socket> clients = new ArrayList<>();

    /**
     * Starts the processes.
     *
     * @param size the number of edge proxies
     * @param ratePerSecond the request rate limit of the service; 0 for none
     * @param connectionCap the maximum number of connections to each instance
     */
    FleetFixture(int size, double ratePerSecond, int connectionCap) throws Exception {
        this.ratePerSecond = ratePerSecond;
        this.connectionCap = connectionCap;
        for (int rank = 0; rank < CACHES; rank++) {
            CacheNode node = new CacheNode("cache-" + rank, "127.0.0.1:0", "z");
            DataPath cache = start(new FleetPosition(size, 0), Optional.of(node));
            nodes.add(new CacheNode(node.id(), "127.0.0.1:" + cache.address().getPort(), node.zone()));
            caches.add(cache);
        }
        for (int rank = 0; rank < size; rank++) {
            proxies.add(start(new FleetPosition(size, rank), Optional.empty()));
        }
        setSharedCaches(nodes);
    }

    private DataPath start(FleetPosition position, Optional<CacheNode> cache) throws Exception {
        FakeControl control = new FakeControl();
        control.fleet = new Fleet(position, List.of());
        control.connectionCap = connectionCap;
        control.setRoutes(
                ProxyFixture.LIMITS,
                ratePerSecond,
                ProxyFixture.route(RouteKind.CACHEABLE, "/c/", 2),
                ProxyFixture.route(RouteKind.IDEMPOTENT, "/i/", 2));
        controls.add(control);
        DataPath dataPath = new DataPath(
                loop,
                SocketKind.NIO,
                timers,
                settings("node-" + controls.size()),
                control,
                new FakeRegister(),
                new SimpleMeterRegistry(),
                cache,
                CACHE_BYTES);
        dataPath.listen().sync();
        return dataPath;
    }

    /** Reports these shared caches, and no others, to all processes. */
    void setSharedCaches(List<CacheNode> sharedCaches) throws Exception {
        loop.submit(() -> {
                    for (FakeControl control : controls) {
                        control.fleet = new Fleet(control.fleet.proxies(), sharedCaches);
                        control.listeners.forEach(ControlListener::instancesChanged);
                    }
                })
                .sync();
    }

    private static Settings settings(String nodeName) {
        return new Settings(
                nodeName,
                "127.0.0.1",
                "z",
                Map.of("z", "r"),
                1,
                2,
                List.of(),
                true,
                null,
                "127.0.0.1:0",
                null,
                null,
                1_000,
                new Bounds(Map.of("retryBudgetRatio", "0.2", "retryBudgetSlack", "50")),
                FILE_DESCRIPTORS,
                0,
                false);
    }

    /** Changes the control plane view of one of the proxies. */
    void onProxy(int proxy, Consumer<FakeControl> change) throws Exception {
        FakeControl control = controls.get(CACHES + proxy);
        loop.submit(() -> change.accept(control)).sync();
    }

    /** Changes the control plane view of the shared caches. */
    void onCaches(Consumer<FakeControl> change) throws Exception {
        loop.submit(() -> controls.subList(0, CACHES).forEach(change)).sync();
    }

    /** Lets a shared cache refuse all requests from now on because it is stopping. */
    void drainCache(int cache) throws Exception {
        loop.submit(() -> caches.get(cache).drain(0, 0)).sync();
    }

    /** Waits until one of the proxies has this many requests in flight. */
    void awaitInFlight(int proxy, int count) throws Exception {
        ProxyFixture.awaitInFlight(loop, proxies.get(proxy), count);
    }

    /** The current time of all processes, in milliseconds. */
    double now() {
        return timers.now();
    }

    /** Advances the clock; timers do not fire in between. */
    void advanceTime(double ms) {
        timers.advance(ms);
    }

    StubInstance instance(String id, StubInstance.Script script) throws Exception {
        StubInstance instance = new StubInstance(id, script);
        instances.add(instance);
        loop.submit(() -> {
                    for (FakeControl control : controls) {
                        control.instances =
                                instances.stream().map(i -> i.instance("s")).toList();
                        control.listeners.forEach(ControlListener::instancesChanged);
                    }
                })
                .sync();
        return instance;
    }

    /** Opens a client connection to one of the proxies. */
    ProxyFixture.Client client(int proxy) throws IOException {
        Socket socket = new Socket("127.0.0.1", proxies.get(proxy).address().getPort());
        socket.setSoTimeout(6_000);
        clients.add(socket);
        return new ProxyFixture.Client(socket);
    }

    @Override
    public void close() throws IOException {
        List<DataPath> all = new ArrayList<>(proxies);
        all.addAll(caches);
        long[] violations = new long[1];
        loop.submit(() -> {
                    for (DataPath dataPath : all) {
                        violations[0] += dataPath.invariantViolations();
                        dataPath.close();
                    }
                })
                .syncUninterruptibly();
        for (Socket client : clients) {
            client.close();
        }
        for (StubInstance instance : instances) {
            instance.close();
        }
        group.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS).syncUninterruptibly();
        assertThat(violations[0]).as("invariant violations").isZero();
    }
}
