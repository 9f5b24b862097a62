package ridgemill.cdn.proxy;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import ridgemill.cdn.config.Destination;
import ridgemill.cdn.config.Limits;
import ridgemill.cdn.config.Route;
import ridgemill.cdn.config.RouteKind;
import ridgemill.cdn.proxy.control.ControlListener;
import ridgemill.cdn.settings.Bounds;
import ridgemill.cdn.settings.Settings;
import ridgemill.gateway.net.SocketKind;

/** A data path on its own event loop, with stub instances and plain client sockets. */
final class ProxyFixture implements AutoCloseable {

    static final Limits LIMITS = new Limits(2_000, 10_000, 300, 2_000);

    final FakeControl control = new FakeControl();
    final SimpleMeterRegistry meters = new SimpleMeterRegistry();
    final FakeRegister register = new FakeRegister();
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    final EventLoop loop = group.next();
    final AdvanceableTimers timers = new AdvanceableTimers(loop);
    final Settings settings;
    final DataPath dataPath;
    private final List<StubInstance> instances = new ArrayList<>();
    private final List<Socket> clients = new ArrayList<>();

    ProxyFixture() throws Exception {
        this(1_000);
    }

    /**
     * Starts a data path.
     *
     * @param fileDescriptors the maximum number of open file descriptors of the process
     */
    ProxyFixture(int fileDescriptors) throws Exception {
        settings = new Settings(
                "edge-1",
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
                fileDescriptors,
                0,
                false);
        control.setRoutes(
                LIMITS,
                0,
                route(RouteKind.CACHEABLE, "/c/", 2),
                route(RouteKind.IDEMPOTENT, "/i/", 2),
                route(RouteKind.NON_IDEMPOTENT, "/n/", 2),
                route(RouteKind.KEYED_IDEMPOTENT, "/k/", 2));
        dataPath = new DataPath(
                loop, SocketKind.NIO, timers, settings, control, register, meters, Optional.empty(), 1_000_000);
        dataPath.listen().sync();
    }

    static Route route(RouteKind kind, String prefix, int maxAttempts) {
        return route(kind, prefix, maxAttempts, 400);
    }

    static Route route(RouteKind kind, String prefix, int maxAttempts, long targetLatencyMs) {
        return new Route(
                prefix,
                "h.example",
                prefix,
                kind,
                5_000,
                targetLatencyMs,
                0,
                List.of(new Destination("s", 1)),
                maxAttempts,
                60_000,
                1);
    }

    /** The same route with the next version number. */
    static Route nextVersion(Route route) {
        return new Route(
                route.name(),
                route.hostname(),
                route.pathPrefix(),
                route.kind(),
                route.timeoutMs(),
                route.targetLatencyMs(),
                route.priorityLevel(),
                route.destinations(),
                route.maxAttempts(),
                route.cacheTtlMs(),
                route.version() + 1);
    }

    StubInstance instance(String id, StubInstance.Script script) throws Exception {
        StubInstance instance = new StubInstance(id, script);
        instances.add(instance);
        onLoop(() -> {
            control.instances = instances.stream().map(i -> i.instance("s")).toList();
            control.listeners.forEach(ControlListener::instancesChanged);
        });
        return instance;
    }

    /** Replaces the routes. */
    void setRoutes(Route... routes) throws Exception {
        onLoop(() -> {
            control.setRoutes(LIMITS, 0, routes);
            control.listeners.forEach(ControlListener::configurationChanged);
        });
    }

    /** Replaces the instances that are ready. */
    void setReadyInstances(StubInstance... ready) throws Exception {
        onLoop(() -> {
            control.instances =
                    java.util.Arrays.stream(ready).map(i -> i.instance("s")).toList();
            control.listeners.forEach(ControlListener::instancesChanged);
        });
    }

    /** Waits until this number of requests is in flight. */
    void awaitInFlight(int count) throws Exception {
        awaitInFlight(loop, dataPath, count);
    }

    /** Waits until a process has this many requests in flight. */
    static void awaitInFlight(EventLoop loop, DataPath dataPath, int count) throws Exception {
        long endNanos = System.nanoTime() + 10_000_000_000L;
        for (int now = loop.submit(dataPath::inFlight).get();
                now != count;
                now = loop.submit(dataPath::inFlight).get()) {
            if (System.nanoTime() > endNanos) {
                throw new AssertionError(now + " requests in flight instead of " + count);
            }
        }
    }

    void onLoop(Runnable task) throws Exception {
        loop.submit(task).sync();
    }

    /** Starts draining, and waits until the connections that are idle have been closed. */
    void drain(double openMs, double endMs) throws Exception {
        onLoop(() -> dataPath.drain(openMs, endMs));
        awaitDueTasks();
    }

    /** Waits until the tasks that are due on the event loop have run, but not those that they schedule. */
    void awaitDueTasks() throws Exception {
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> loop.schedule(done::countDown, 0, TimeUnit.NANOSECONDS));
        done.await();
    }

    /** Creates components of their own for the classes below the data path; used on the event loop. */
    ProxyContext newContext() {
        return new ProxyContext(
                loop, SocketKind.NIO, timers, settings, control, register, meters, Optional.empty(), 1_000);
    }

    /** Opens a client connection. */
    Client client() throws IOException {
        Socket socket = new Socket("127.0.0.1", dataPath.address().getPort());
        socket.setSoTimeout(6_000);
        clients.add(socket);
        return new Client(socket);
    }

    /** Sends a request on a new connection and reads the response. */
    Reply request(String method, String target, String id, String extraHeaders) throws IOException {
        return client().request(method, target, id, extraHeaders);
    }

    /** A response as read by a client. */
    record Reply(int status, String head, String body) {

        String header(String name) {
            return new StubInstance.Received(head, "").header(name);
        }
    }

    /** The connection of a client. */
    record Client(Socket socket) {

        private static final byte[] BLOCK = "x".repeat(64_000).getBytes(StandardCharsets.ISO_8859_1);

        Reply request(String method, String target, String id, String extraHeaders) throws IOException {
            send(method + " " + target + " HTTP/1.1\r\nHost: h.example\r\n" + "X-Attempt-Id: " + id + "\r\n"
                    + extraHeaders + "\r\n");
            return read();
        }

        void send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
        }

        /** Sends bytes in blocks. One large text would take so long to allocate that an idle connection is closed. */
        void sendBytes(int count) throws IOException {
            for (int left = count; left > 0; left -= BLOCK.length) {
                socket.getOutputStream().write(BLOCK, 0, Math.min(left, BLOCK.length));
            }
        }

        Reply read() throws IOException {
            InputStream in = socket.getInputStream();
            ByteArrayOutputStream head = new ByteArrayOutputStream();
            while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
                int b = in.read();
                if (b < 0) {
                    throw new IOException("connection closed after: " + head.toString(StandardCharsets.ISO_8859_1));
                }
                head.write(b);
            }
            String text = head.toString(StandardCharsets.ISO_8859_1);
            String length = new StubInstance.Received(text, "").header("Content-Length");
            byte[] body = length == null ? new byte[0] : in.readNBytes(Integer.parseInt(length));
            return new Reply(
                    Integer.parseInt(text.substring(9, 12)), text, new String(body, StandardCharsets.ISO_8859_1));
        }

        boolean isClosed() throws IOException {
            return socket.getInputStream().read() < 0;
        }
    }

    @Override
    public void close() throws IOException {
        loop.submit(dataPath::close).syncUninterruptibly();
        for (Socket client : clients) {
            client.close();
        }
        for (StubInstance instance : instances) {
            instance.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
