package ridgemill.cdn.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import ridgemill.gateway.net.SocketKind;

/**
 * Guards against calls that lose their connection without an answer: a registry that got SIGTERM ended at once, whatever
 * calls were in progress.
 */
class SimpleHttpServerTest {

    private static final int TIMEOUT_MS = 5_000;
    private static final String CALL = "PUT /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n";

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, SocketKind.NIO.handlers());
    private final EventLoop loop = group.next();
    private final BlockingQueue<SimpleHttpServer.Request> calls = new LinkedBlockingQueue<>();
    private SimpleHttpServer server;

    @BeforeEach
    void start() {
        server = SimpleHttpServer.listen(
                loop, SocketKind.NIO, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), calls::add);
    }

    @AfterEach
    void stop() {
        server.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private Socket connect() throws IOException {
        Socket socket =
                new Socket(server.address().getAddress(), server.address().getPort());
        socket.setSoTimeout(TIMEOUT_MS);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private SimpleHttpServer.Request take() throws InterruptedException {
        SimpleHttpServer.Request call = calls.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        assertThat(call).as("a call").isNotNull();
        return call;
    }

    private void answer(SimpleHttpServer.Request call, int status) {
        loop.submit(() -> call.responder().accept(SimpleHttpServer.Response.empty(status)))
                .syncUninterruptibly();
    }

    private void drain() {
        loop.submit(server::drain).syncUninterruptibly();
    }

    private boolean isIdle() throws Exception {
        return loop.submit(server::isIdle).get();
    }

    private void awaitIdle(boolean idle) throws Exception {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (isIdle() != idle) {
            assertThat(System.nanoTime()).as("time").isLessThan(endNanos);
        }
    }

    /** Reads until the server closes the connection. */
    private static String readAll(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    @Test
    void callInProgressIsAnsweredAndItsConnectionCloses() throws Exception {
        try (Socket socket = connect()) {
            send(socket, CALL + "body");
            SimpleHttpServer.Request call = take();
            drain();
            assertThat(isIdle()).isFalse();
            answer(call, 200);
            assertThat(readAll(socket)).startsWith("HTTP/1.1 200").containsIgnoringCase("connection: close");
            awaitIdle(true);
        }
    }

    @Test
    void callThatArrivesCompletelyAfterTheDrainIsRefused() throws Exception {
        try (Socket socket = connect()) {
            send(socket, CALL + "bo");
            awaitIdle(false);
            drain();
            assertThat(isIdle()).isFalse();
            send(socket, "dy");
            assertThat(readAll(socket)).startsWith("HTTP/1.1 503").containsIgnoringCase("connection: close");
            assertThat(calls).isEmpty();
            awaitIdle(true);
        }
    }

    @Test
    void connectionWithoutACallIsClosed() throws Exception {
        try (Socket kept = connect()) {
            send(kept, CALL + "body");
            answer(take(), 200);
            awaitIdle(true);
            drain();
            assertThat(readAll(kept)).startsWith("HTTP/1.1 200");
        }
    }

    @Test
    void connectionIsKeptForTheNextCallWhileTheServerIsNotDraining() throws Exception {
        try (Socket kept = connect()) {
            for (int i = 0; i < 3; i++) {
                send(kept, CALL + "body");
                answer(take(), 200);
                awaitIdle(true);
            }
            drain();
            assertThat(readAll(kept).split("HTTP/1.1 200")).hasSize(4);
        }
    }
}
