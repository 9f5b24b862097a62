package ridgemill.cdn.store;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import ridgemill.cdn.settings.Bounds;
import ridgemill.cdn.settings.Settings;
import ridgemill.cdn.wire.Link;
import ridgemill.cdn.wire.LinkListener;
import ridgemill.cdn.wire.LinkMessages;
import ridgemill.cdn.wire.Message;
import ridgemill.cdn.wire.ReconnectingLink;
import ridgemill.gateway.net.Clock;
import ridgemill.gateway.net.SocketKind;

/** Runs three stores on loopback addresses, with links to them. */
final class StoreCluster implements AutoCloseable {

    static final List<String> HOSTS = List.of("127.0.0.1", "127.0.0.2", "127.0.0.3");

    private static final int CALL_TIMEOUT_MS = 10_000;
    private static final int MIN_PORT = 12_000;
    private static final int MAX_PORT = 32_000;

    private final Path folder;
    private final int port;
    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, SocketKind.NIO.handlers());
    private final StoreProgram[] programs = new StoreProgram[HOSTS.size()];
    private final List<ReconnectingLink> links = new ArrayList<>();

    StoreCluster(Path folder) throws IOException {
        this.folder = folder;
        this.port = freePort();
    }

    /**
     * Returns a port that is free on all addresses. It is below the ephemeral ports, because a store that is restarted
     * must find its port free.
     */
    private static int freePort() throws IOException {
        while (true) {
            int candidate = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
            try (ServerSocket first = new ServerSocket()) {
                first.bind(new InetSocketAddress(HOSTS.get(0), candidate));
                try (ServerSocket second = new ServerSocket();
                        ServerSocket third = new ServerSocket()) {
                    second.bind(new InetSocketAddress(HOSTS.get(1), candidate));
                    third.bind(new InetSocketAddress(HOSTS.get(2), candidate));
                    return candidate;
                }
            } catch (IOException inUse) {
                continue;
            }
        }
    }

    void start(int index, boolean firstStart) {
        start(index, firstStart, new JournalDisk(folderOf(index).resolve("store")));
    }

    void start(int index, boolean firstStart, StoreDisk disk) {
        start(index, settings(index, firstStart, HOSTS), disk);
    }

    /** Starts a store again whose settings name no other store. */
    void startAlone(int index) {
        Settings settings = settings(index, false, List.of(HOSTS.get(index)));
        start(index, settings, new JournalDisk(folderOf(index).resolve("store")));
    }

    private void start(int index, Settings settings, StoreDisk disk) {
        programs[index] = new StoreProgram(settings, loops, SocketKind.NIO, new Clock(), disk);
        programs[index]
                .start()
                .orTimeout(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .join();
    }

    void startAll() {
        for (int i = 0; i < HOSTS.size(); i++) {
            start(i, true);
        }
    }

    void stop(int index) {
        programs[index].stop();
        programs[index] = null;
    }

    void wipe(int index) throws IOException {
        try (var paths = Files.walk(folderOf(index))) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }

    Path folderOf(int index) {
        return folder.resolve("machine-" + index);
    }

    private Settings settings(int index, boolean firstStart, List<String> seedHosts) {
        List<String> seeds = seedHosts.stream().map(host -> host + ":1").toList();
        return new Settings(
                "core-" + index,
                HOSTS.get(index),
                "zone",
                Map.of(),
                port - 1,
                port + 1,
                seeds,
                firstStart,
                folderOf(index),
                null,
                null,
                null,
                1_000,
                new Bounds(Map.of()),
                1_000,
                1,
                true);
    }

    /** Opens a link to a store. Received messages other than replies are queued. */
    Caller caller(int index) {
        EventLoop loop = loops.next();
        Caller caller = new Caller(loop);
        LinkMessages.Hello hello =
                new LinkMessages.Hello(LinkMessages.Hello.PROTOCOL, "test", "test", "127.0.0.1", "life");
        InetSocketAddress address = new InetSocketAddress(HOSTS.get(index), port);
        caller.link = new ReconnectingLink(loop, SocketKind.NIO, address, hello, caller);
        links.add(caller.link);
        loop.execute(caller.link::start);
        caller.opened.orTimeout(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS).join();
        return caller;
    }

    /** Opens a connection to a store over which nothing has been sent yet. */
    Socket connect(int index) throws IOException {
        Socket socket = new Socket(HOSTS.get(index), port);
        socket.setSoTimeout(CALL_TIMEOUT_MS);
        return socket;
    }

    @Override
    public void close() {
        links.forEach(ReconnectingLink::close);
        for (StoreProgram program : programs) {
            if (program != null) {
                program.stop();
            }
        }
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** A link that is used from the thread of the test. */
    static final class Caller implements LinkListener {

        private final EventLoop loop;
        private final CompletableFuture<Void> opened = new CompletableFuture<>();
        private final BlockingQueue<Message> received = new LinkedBlockingQueue<>();
        private ReconnectingLink link;

        private Caller(EventLoop loop) {
            this.loop = loop;
        }

        <R extends Message.Reply> CompletableFuture<R> startCall(
                LongFunction<? extends Message.Call> message, Class<R> type) {
            CompletableFuture<R> result = new CompletableFuture<>();
            loop.execute(() -> link.call(message, CALL_TIMEOUT_MS, reply -> complete(result, type, reply)));
            return result;
        }

        private static <R> void complete(CompletableFuture<R> result, Class<R> type, Either<?, Message.Reply> reply) {
            if (reply.isRight()) {
                result.complete(type.cast(reply.get()));
            } else {
                result.completeExceptionally(new IOException(String.valueOf(reply.getLeft())));
            }
        }

        <R extends Message.Reply> R call(LongFunction<? extends Message.Call> message, Class<R> type) {
            return startCall(message, type).join();
        }

        void send(Message message) {
            loop.execute(() -> link.send(message));
        }

        <M extends Message> M take(Class<M> type) throws InterruptedException {
            return type.cast(received.poll(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS));
        }

        @Override
        public void opened(Link openedLink) {
            opened.complete(null);
        }

        @Override
        public void received(Link from, Message message) {
            received.add(message);
        }

        @Override
        public void closed(Link ended) {}
    }
}
