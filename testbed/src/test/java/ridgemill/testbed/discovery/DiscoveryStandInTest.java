package ridgemill.testbed.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import ridgemill.testbed.discovery.DiscoveryStandIn.Host;
import ridgemill.testbed.ledger.Ledger;

/** The list, the watch, and the ways in which discovery fails. */
class DiscoveryStandInTest {

    private static final int PATIENCE_MS = 20_000;
    private static final int NOTHING_MS = 300;
    private static final InetSocketAddress DIAL = new InetSocketAddress("127.0.0.1", 9);

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Ledger ledger = new Ledger();
    private DiscoveryStandIn discovery;

    @BeforeEach
    void start() {
        discovery = new DiscoveryStandIn(group.next(), ledger, "p0");
        say("c0", "up");
    }

    @AfterEach
    void stop() {
        discovery.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private void say(String node, String health) {
        discovery.publish(new Host(node, DIAL, "a", "std", health, 0));
    }

    private final class Watch implements AutoCloseable {
        private final Socket socket =
                new Socket(discovery.address().getAddress(), discovery.address().getPort());
        private final BufferedReader in =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));

        Watch(String query) throws IOException {
            socket.setSoTimeout(PATIENCE_MS);
            socket.getOutputStream()
                    .write(("GET /discovery/hosts" + query + " HTTP/1.1\r\nHost: d\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
        }

        /** The next line that holds JSON; null at the end. */
        String next() throws IOException {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (line.startsWith("{")) {
                    return line;
                }
            }
            return null;
        }

        void hearsNothing() throws IOException {
            socket.setSoTimeout(NOTHING_MS);
            assertThrows(SocketTimeoutException.class, this::next);
            socket.setSoTimeout(PATIENCE_MS);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    @Test
    void aWatchHasTheWholeListFirstAndThenTheChanges() throws Exception {
        try (Watch watch = new Watch("?watch=1&from=0")) {
            String first = watch.next();
            assertTrue(first.contains("\"whole\":true") && first.contains("\"host\":\"c0\""), first);
            say("c0", "draining");
            String change = watch.next();
            assertTrue(change.contains("\"whole\":false") && change.contains("draining"), change);
        }
        while (ledger.told().size() < 2) {
            // What it wrote may be read before it has been noted.
            Thread.onSpinWait();
        }
        assertEquals("draining", ledger.told().get(1).health());
    }

    @Test
    void aWatchFromAVersionHasOnlyWhatCameAfter() throws Exception {
        long seq = discovery.known().get("seq").getAsLong();
        say("c1", "up");
        try (Watch watch = new Watch("?watch=1&from=" + seq)) {
            String news = watch.next();
            assertTrue(news.contains("c1") && !news.contains("c0"), news);
        }
    }

    @Test
    void silenceAndStalenessAreMadeUpForWhenTheyEnd() throws Exception {
        try (Watch watch = new Watch("?watch=1&from=0")) {
            watch.next();
            discovery.silent(true);
            say("c0", "removed");
            watch.hearsNothing();
            discovery.silent(false);
            assertNull(watch.next(), "the watch ends, and comes again");
        }
        discovery.stale(true);
        say("c2", "up");
        try (Watch watch = new Watch("?watch=1&from=0")) {
            watch.hearsNothing();
            discovery.stale(false);
        }
        try (Watch watch = new Watch("?watch=1&from=0")) {
            String whole = watch.next();
            assertTrue(whole.contains("c2") && !whole.contains("c0"), whole);
        }
    }

    @Test
    void aPlainCallHasTheList() throws Exception {
        try (Watch call = new Watch("")) {
            String head = call.in.readLine();
            assertEquals("HTTP/1.1 200 OK", head);
            call.in.readLine();
            call.in.readLine();
            char[] body = new char[20];
            assertEquals(20, call.in.read(body));
            assertTrue(new String(body).startsWith("{\"seq\":"));
        }
    }

    @Test
    void nonsenseIsWrittenAsItIs() throws Exception {
        try (Watch watch = new Watch("?watch=1&from=0")) {
            watch.next();
            discovery.nonsense("{\"seq\":\"many\"}");
            assertEquals("{\"seq\":\"many\"}", watch.next());
        }
    }
}
