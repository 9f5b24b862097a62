package ridgemill.cdn.proxy;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import ridgemill.cdn.config.RouteKind;
import ridgemill.cdn.proxy.control.ControlListener;
import ridgemill.cdn.settings.Bounds;
import ridgemill.cdn.settings.Settings;
import ridgemill.gateway.net.SocketKind;

/** Many edge proxies that share the bounds of one service, on one loop, between stand-in instances and plain sockets. */
final class FleetFixture implements AutoCloseable {

    private static final long CACHE_BYTES = 1_000_000;
    private static final int DESCRIPTORS = 1_000;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final JumpingTimers timers = new JumpingTimers(loop);
    private final List<FakeControl> controls = new ArrayList<>();
    private final List<DataPath> proxies = new ArrayList<>();
    private final List<StandInInstance> instances = new ArrayList<>();
    private final List<Socket> clients = new ArrayList<>();

    /** Proxies before instances that together take so many requests a second and each so many connections. */
    FleetFixture(int size, double ratePerSecond, int connectionCap) throws Exception {
        for (int rank = 0; rank < size; rank++) {
            FakeControl control = new FakeControl();
            control.proxies = size;
            control.connectionCap = connectionCap;
            control.routes(
                    ProxyFixture.LIMITS,
                    ratePerSecond,
                    ProxyFixture.route(RouteKind.CACHEABLE, "/c/", 2),
                    ProxyFixture.route(RouteKind.IDEMPOTENT, "/i/", 2));
            controls.add(control);
            DataPath path = new DataPath(
                    loop,
                    SocketKind.NIO,
                    timers,
                    settings("edge-" + rank),
                    control,
                    new FakeRegister(),
                    new SimpleMeterRegistry(),
                    CACHE_BYTES);
            path.listen().sync();
            proxies.add(path);
        }
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
                DESCRIPTORS,
                0,
                false);
    }

    int size() {
        return proxies.size();
    }

    StandInInstance instance(String id, StandInInstance.Script script) throws Exception {
        StandInInstance instance = new StandInInstance(id, script);
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

    /** A client's connection to one of the proxies. */
    ProxyFixture.Client client(int proxy) throws IOException {
        Socket socket = new Socket("127.0.0.1", proxies.get(proxy).address().getPort());
        socket.setSoTimeout(6_000);
        clients.add(socket);
        return new ProxyFixture.Client(socket);
    }

    @Override
    public void close() throws IOException {
        loop.submit(() -> proxies.forEach(DataPath::close)).syncUninterruptibly();
        for (Socket client : clients) {
            client.close();
        }
        for (StandInInstance instance : instances) {
            instance.close();
        }
        group.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS).syncUninterruptibly();
    }
}
