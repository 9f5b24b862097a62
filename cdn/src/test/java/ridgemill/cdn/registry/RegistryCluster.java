package ridgemill.cdn.registry;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import ridgemill.cdn.quorum.Voter;
import ridgemill.cdn.quorum.VoterSet;
import ridgemill.cdn.settings.Bounds;
import ridgemill.cdn.settings.Settings;
import ridgemill.cdn.wire.Link;
import ridgemill.cdn.wire.LinkListener;
import ridgemill.cdn.wire.LinkMessages;
import ridgemill.cdn.wire.LinkServer;
import ridgemill.cdn.wire.Message;
import ridgemill.cdn.wire.ReconnectingLink;
import ridgemill.cdn.wire.RegistryMessages;
import ridgemill.cdn.wire.StoreMessages;
import ridgemill.gateway.net.Clock;
import ridgemill.gateway.net.LoopGroup;
import ridgemill.gateway.net.SocketKind;

/** Runs three registries on loopback addresses, with requests to them and stub proxies that subscribe to them. */
final class RegistryCluster implements AutoCloseable {

    static final List<String> HOSTS = List.of("127.0.0.1", "127.0.0.2", "127.0.0.3");
    static final long HEARTBEAT_INTERVAL_MS = 400;
    /** The voters that the stub stores report. */
    static final VoterSet VOTERS =
            new VoterSet(3, HOSTS.stream().map(host -> new Voter(host, "disk")).toList(), List.of());

    private static final int WAIT_MS = 10_000;
    private static final int MIN_PORT = 12_000;
    private static final int MAX_PORT = 32_000;
    /**
     * The offset from the link port of a registry to its control port. The port between them is the port of the store.
     */
    private static final int CONTROL_PORT_OFFSET = 2;

    private final int port = freePort();
    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, SocketKind.NIO.handlers());
    private final HttpClient http = HttpClient.newHttpClient();
    private final Map<Integer, Running> running = new HashMap<>();
    private final Map<Integer, DepartureDisk> disks = new HashMap<>();
    private final List<ReconnectingLink> links = new ArrayList<>();
    private final List<LinkServer> stores = new ArrayList<>();

    /**
     * Returns a port below the ephemeral ports that, together with the store port and the control port, is free on all
     * addresses.
     */
    private static int freePort() {
        while (true) {
            int candidate = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
            if (HOSTS.stream()
                    .allMatch(host -> isFree(host, candidate)
                            && isFree(host, candidate + 1)
                            && isFree(host, candidate + CONTROL_PORT_OFFSET))) {
                return candidate;
            }
        }
    }

    private static boolean isFree(String host, int port) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(host, port));
            return true;
        } catch (IOException inUse) {
            return false;
        }
    }

    /** A registry with an event loop of its own, so that it can be killed with all its connections. */
    private record Running(RegistryProgram program, LoopGroup loop) {

        void kill() {
            loop.shutdownGracefully(0, WAIT_MS, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }

    /** Gives a registry a disk, which it has when it is started the next time and from then on. */
    void setDisk(int index, DepartureDisk disk) {
        disks.put(index, disk);
    }

    /** Ends a registry without notice: its connections are closed, its memory is lost. */
    void kill(int index) {
        running.remove(index).kill();
    }

    /** Stops a registry gracefully, and ends it without further notice as soon as it may end. */
    CompletableFuture<Void> drainAndKill(int index) {
        CompletableFuture<Void> drained = new CompletableFuture<>();
        running.get(index).program().drain(() -> drained.complete(null));
        return drained.thenRunAsync(() -> kill(index));
    }

    /** Starts a registry again that was killed; its stub store has gone on. */
    void restart(int index) {
        startRegistry(index, false);
    }

    /** Starts a registry, and if the voters are known there, a stub store that reports them. */
    void start(int index, boolean votersKnown) {
        if (votersKnown) {
            stores.add(LinkServer.listen(
                    loops, SocketKind.NIO, new InetSocketAddress(HOSTS.get(index), port + 1), new StubStore()));
        }
        startRegistry(index, votersKnown);
    }

    private void startRegistry(int index, boolean firstStart) {
        LoopGroup loop = new LoopGroup(1, SocketKind.NIO.handlers());
        DepartureDisk disk = disks.getOrDefault(index, DepartureDisk.NONE);
        RegistryProgram program =
                new RegistryProgram(settings(index, firstStart), loop.next(), SocketKind.NIO, new Clock(), disk);
        running.put(index, new Running(program, loop));
        program.start();
    }

    void startAll() {
        for (int index = 0; index < HOSTS.size(); index++) {
            start(index, true);
        }
    }

    private String control(int index) {
        return HOSTS.get(index) + ":" + (port + CONTROL_PORT_OFFSET);
    }

    private Settings settings(int index, boolean firstStart) {
        return new Settings(
                "core-" + index,
                HOSTS.get(index),
                "zone",
                Map.of(),
                port,
                port + 1,
                List.of(control(0), control(1), control(2)),
                firstStart,
                null,
                null,
                null,
                control(index),
                HEARTBEAT_INTERVAL_MS,
                new Bounds(Map.of()),
                1_000,
                1,
                true);
    }

    /** Reports the voters to all subscribers. */
    private static final class StubStore implements LinkListener {

        @Override
        public void opened(Link link) {}

        @Override
        public void received(Link link, Message message) {
            if (message instanceof StoreMessages.WatchVoters) {
                link.send(new StoreMessages.CurrentVoters(VOTERS));
            }
        }

        @Override
        public void closed(Link link) {}
    }

    /** Sends a heartbeat of an instance to a registry and returns the response status. */
    int heartbeat(int index, String id, String state, long sequence) throws IOException, InterruptedException {
        return call(index, "PUT", id, heartbeatOf(id, state, sequence));
    }

    /** Sends a heartbeat of an instance to a registry without waiting for the response status. */
    CompletableFuture<Integer> heartbeatAsync(int index, String id, String state, long sequence) {
        HttpRequest request = request(index, "PUT", id, heartbeatOf(id, state, sequence));
        return http.sendAsync(request, HttpResponse.BodyHandlers.discarding()).thenApply(HttpResponse::statusCode);
    }

    private static String heartbeatOf(String id, String state, long sequence) {
        return """
                {"address":"127.0.0.9:%d","information":{"service":"s","version":"v","zone":"z","slotCount":4},
                "status":{"state":"%s","sequence":%d,"coldRemaining":"0ms"}}
                """.formatted(Math.floorMod(id.hashCode(), 10_000) + 1, state, sequence);
    }

    /** Sends the departure of an instance to a registry and returns the response status. */
    int leave(int index, String id) throws IOException, InterruptedException {
        return call(index, "DELETE", id, "");
    }

    private int call(int index, String method, String id, String body) throws IOException, InterruptedException {
        HttpRequest request = request(index, method, id, body);
        return http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    }

    private HttpRequest request(int index, String method, String id, String body) {
        return HttpRequest.newBuilder(URI.create("http://" + control(index) + "/ridgemill/instances/" + id))
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    /** Creates a stub proxy that subscribes to a registry. */
    Proxy proxy(int index, String name, boolean acknowledging) {
        EventLoop loop = loops.next();
        Proxy proxy = new Proxy(acknowledging);
        LinkMessages.Hello hello =
                new LinkMessages.Hello(LinkMessages.Hello.PROTOCOL, "proxy", name, "127.0.0.1", name + "-life");
        ReconnectingLink link =
                new ReconnectingLink(loop, SocketKind.NIO, new InetSocketAddress(HOSTS.get(index), port), hello, proxy);
        links.add(link);
        loop.execute(link::start);
        return proxy;
    }

    @Override
    public void close() {
        links.forEach(ReconnectingLink::close);
        running.values().forEach(registry -> registry.program().stop());
        running.values().forEach(Running::kill);
        stores.forEach(LinkServer::close);
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** A stub proxy that queues the messages of the registry. */
    static final class Proxy implements LinkListener {

        private final boolean acknowledging;
        private final BlockingQueue<Message> received = new LinkedBlockingQueue<>();

        private Proxy(boolean acknowledging) {
            this.acknowledging = acknowledging;
        }

        /** Returns the snapshot that starts the subscription. */
        RegistryMessages.Snapshot snapshot() throws InterruptedException {
            return (RegistryMessages.Snapshot) received.poll(WAIT_MS, TimeUnit.MILLISECONDS);
        }

        /** Waits for the first update that satisfies a condition. */
        RegistryMessages.Update awaitUpdate(Predicate<RegistryMessages.Update> wanted) throws InterruptedException {
            long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MS);
            Message last = null;
            while (System.nanoTime() < endNanos) {
                Message message = received.poll(WAIT_MS, TimeUnit.MILLISECONDS);
                if (message instanceof RegistryMessages.Update update && wanted.test(update)) {
                    return update;
                }
                last = message == null ? last : message;
            }
            throw new AssertionError("no such update; the last message was " + last);
        }

        /** Returns and removes all queued updates. */
        List<RegistryMessages.Update> drainUpdates() {
            List<Message> remaining = new ArrayList<>();
            received.drainTo(remaining);
            return remaining.stream().map(RegistryMessages.Update.class::cast).toList();
        }

        @Override
        public void opened(Link link) {
            link.send(new RegistryMessages.Subscribe("", 0));
        }

        @Override
        public void received(Link link, Message message) {
            received.add(message);
            if (acknowledging && message instanceof RegistryMessages.Update update) {
                link.send(new RegistryMessages.UpdateAcknowledged(update.number()));
            } else if (acknowledging && message instanceof RegistryMessages.Snapshot snapshot) {
                link.send(new RegistryMessages.UpdateAcknowledged(snapshot.number()));
            }
        }

        @Override
        public void closed(Link link) {}
    }
}
