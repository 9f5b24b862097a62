package ridgemill.testbed.link;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import ridgemill.testbed.link.Link.Conditions;

/** A link carries what it is given, as late and as badly as it is told. */
class LinkTest {

    private static final int PATIENCE_MS = 20_000;
    /** How long a reader waits where nothing is to come. */
    private static final int NOTHING_MS = 300;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private ServerSocket server;
    private Link link;
    private Socket near;
    private Socket far;

    @BeforeEach
    void start() throws Exception {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        link = new Link(group.next(), (InetSocketAddress) server.getLocalSocketAddress(), 3);
        connect();
    }

    private void connect() throws IOException {
        near = new Socket(link.address().getAddress(), link.address().getPort());
        far = server.accept();
        near.setSoTimeout(PATIENCE_MS);
        far.setSoTimeout(PATIENCE_MS);
    }

    @AfterEach
    void stop() throws Exception {
        near.close();
        far.close();
        link.close();
        server.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
    }

    private static void say(Socket from, String text) throws IOException {
        from.getOutputStream().write(text.getBytes());
    }

    private static String hear(Socket at, int length) throws IOException {
        return new String(at.getInputStream().readNBytes(length));
    }

    private void hearsNothing(Socket at) throws IOException {
        at.setSoTimeout(NOTHING_MS);
        assertThrows(SocketTimeoutException.class, () -> at.getInputStream().read());
        at.setSoTimeout(PATIENCE_MS);
    }

    @Test
    void itCarriesBothWaysAndTheEnd() throws Exception {
        say(near, "ask");
        assertEquals("ask", hear(far, 3));
        say(far, "answer");
        far.close();
        assertEquals("answer", hear(near, 6));
        assertEquals(-1, near.getInputStream().read());
    }

    @Test
    void delayAndBandwidthKeepTheOrder() throws Exception {
        link.set(Conditions.CLEAR.delay(30).bandwidth(100_000));
        long start = System.nanoTime();
        for (int i = 0; i < 100; i++) {
            say(near, "%04d".formatted(i));
        }
        for (int i = 0; i < 100; i++) {
            assertEquals("%04d".formatted(i), hear(far, 4));
        }
        assertTrue(System.nanoTime() - start >= TimeUnit.MILLISECONDS.toNanos(30), "never sooner than the delay");
    }

    @Test
    void aStallHoldsBackAndLosesNothing() throws Exception {
        link.stall(NOTHING_MS * 4);
        say(near, "later");
        hearsNothing(far);
        assertEquals("later", hear(far, 5));
    }

    @Test
    void aLostMessageLeavesTheConnectionOpenAndSilent() throws Exception {
        link.set(Conditions.CLEAR.loss(1), Conditions.CLEAR);
        say(near, "lost");
        hearsNothing(far);
        assertArrayEquals(new long[] {0, 1}, link.counts());
        say(far, "the other way is clear");
        assertEquals("the other", hear(near, 9));
    }

    @Test
    void aLossIsOfWholeMessagesAndComesFromTheSeed() throws Exception {
        link.set(Conditions.CLEAR.loss(0.5));
        int heard = 0;
        for (int i = 0; i < 20; i++) {
            say(near, "message");
            far.setSoTimeout(NOTHING_MS / 3);
            try {
                assertEquals("message", hear(far, 7));
                heard++;
            } catch (SocketTimeoutException e) {
                near.close();
                far.close();
                connect();
                continue;
            }
            near.close();
            far.close();
            connect();
        }
        assertTrue(heard > 3 && heard < 17, heard + " of 20");
    }

    @Test
    void aOneWayCutLetsTheOtherWayThrough() throws Exception {
        link.set(Conditions.CLEAR, Conditions.CLEAR.cut(true));
        say(near, "ask");
        assertEquals("ask", hear(far, 3));
        say(far, "never comes");
        hearsNothing(near);
    }

    @Test
    void behindACutNewConnectionsComeUpAndStaySilent() throws Exception {
        link.set(Conditions.CLEAR.cut(true));
        try (Socket late =
                new Socket(link.address().getAddress(), link.address().getPort())) {
            say(late, "hello");
            hearsNothing(late);
        }
    }

    @Test
    void aResetEndsEveryConnection() throws Exception {
        say(near, "x");
        hear(far, 1);
        link.reset();
        assertThrows(IOException.class, () -> near.getInputStream().read());
        assertThrows(IOException.class, () -> far.getInputStream().read());
    }
}
