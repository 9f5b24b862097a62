package ridgemill.gateway;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ridgemill.gateway.WireBody.LARGE;
import static ridgemill.gateway.WireBody.ascii;
import static ridgemill.gateway.WireBody.value;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import ridgemill.policy.Router.Outcome;

/** Requests larger than what is held whole go on as they come, once. */
@Timeout(Peer.PATIENCE_S)
class UploadsTest {

    private Site site;

    @BeforeEach
    void start() throws Exception {
        site = new Site();
        site.maxOpen = 100;
        site.start("automatic", "60000", "");
    }

    @AfterEach
    void stop() throws Exception {
        site.close();
    }

    private static String head(String framing, double budgetS) {
        return "PUT http://service.internal/api/k1?x=2 HTTP/1.1\r\nHost: s\r\nX-Call-Id: w" + framing.length()
                + "\r\nX-Call-Class: pay\r\nX-Budget: " + budgetS + "\r\nIdempotency-Key: k\r\n" + framing + "\r\n\r\n";
    }

    /** What a node has read. */
    private record Got(String head, byte[] body) { }

    private CompletableFuture<Got> node() throws Exception {
        Peer node = site.node;
        return CompletableFuture.supplyAsync(() -> {
            try {
                Socket socket = node.accepted().socket();
                WireBody read = new WireBody(socket.getInputStream());
                Got got = new Got(read.head, read.body());
                socket.getOutputStream().write(ascii("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
                return got;
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    @Test
    void aLargeBodyArrivesWholeInEachFraming() throws Exception {
        byte[] value = value(LARGE);
        for (boolean chunked : new boolean[] {false, true}) {
            site.node.raw();
            CompletableFuture<Got> got = node();
            try (Peer.Wire client = site.client()) {
                OutputStream out = client.socket().getOutputStream();
                out.write(ascii(head((chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + LARGE) + "\r\nExpect: 100-continue", 60)));
                byte[] interim = client.socket().getInputStream().readNBytes("HTTP/1.1 100 Continue\r\n\r\n".length());
                assertTrue(new String(interim, StandardCharsets.US_ASCII).startsWith("HTTP/1.1 100 "));
                for (int at = 0; at < LARGE; at += 60_000) {
                    int n = Math.min(60_000, LARGE - at);
                    if (chunked) {
                        out.write(ascii(Integer.toHexString(n) + ";a=\"b\"\r\n"));
                    }
                    out.write(value, at, n);
                    if (chunked) {
                        out.write(ascii("\r\n"));
                    }
                }
                if (chunked) {
                    out.write(ascii("0\r\nX-T: 1\r\n\r\n"));
                }
                assertEquals(200, Site.status(client.read()));
                assertTrue(got.get().head().startsWith("PUT /api/k1?x=2 HTTP/1.1\r\n"), got.get().head());
                assertArrayEquals(value, got.get().body());
                client.write("GET /up HTTP/1.1\r\nHost: s\r\n\r\n");
                assertTrue(client.read().startsWith("HTTP/1.1 "), "the connection is whole");
            }
        }
    }

    /** Its time begins with its last byte: what is written over longer than that is served all the same. */
    @Test
    void aBodyMayTakeLongerThanItsRequestMayWait() throws Exception {
        site.node.raw();
        CompletableFuture<Got> got = node();
        try (Peer.Wire client = site.client()) {
            OutputStream out = client.socket().getOutputStream();
            out.write(ascii(head("Content-Length: 100000", 0.3)));
            for (int i = 0; i < 10; i++) {
                out.write(new byte[10_000]);
                Thread.sleep(60);
            }
            assertEquals(200, Site.status(client.read()));
            assertEquals(100_000, got.get().body().length);
        }
    }

    @Test
    void aRefusalComesAtOnceAndTheRestIsReadAway() throws Exception {
        site.router.onRequest = (request, out) -> out.refuse(request.id(), 0);
        try (Peer.Wire client = site.client()) {
            client.write(head("Content-Length: " + LARGE, 60));
            assertEquals(503, Site.status(client.read()), "before the body");
            client.socket().getOutputStream().write(value(LARGE));
            client.write("GET /up HTTP/1.1\r\nHost: s\r\n\r\n");
            assertTrue(client.read().startsWith("HTTP/1.1 "), "what follows is a request again");
        }
    }

    @Test
    void aClientThatLeavesHalfWayLeavesNothingThatRuns() throws Exception {
        site.node.raw();
        try (Peer.Wire client = site.client()) {
            client.write(head("Content-Length: " + LARGE, 60));
            client.socket().getOutputStream().write(value(100_000));
            Socket node = site.node.accepted().socket();
            client.socket().close();
            byte[] all = node.getInputStream().readAllBytes();
            assertTrue(all.length < LARGE, "never whole");
        } catch (java.net.SocketException e) {
            // The node's connection was reset: never whole either.
        }
        while (site.service.status().owed() > 0) {
            Thread.onSpinWait();
        }
    }

    @Test
    void aNodeThatAnswersEarlyIsBelieved() throws Exception {
        site.node.raw();
        try (Peer.Wire client = site.client()) {
            client.write(head("Content-Length: " + LARGE, 60));
            Socket node = site.node.accepted().socket();
            node.getOutputStream().write(ascii("HTTP/1.1 503 x\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"));
            assertEquals(Outcome.NO_PLACE, Scripted.next(site.router.ends).outcome());
        }
    }

    @Test
    void oneBehindAnotherWaitsForItsTurn() throws Exception {
        byte[] value = value(100_000);
        try (Peer.Wire client = site.client()) {
            client.write(site.get(Site.LONG_S));
            Peer.Wire first = site.node.next().wire();
            client.write(head("Content-Length: " + value.length, 60));
            client.socket().getOutputStream().write(value);
            site.node.raw();
            CompletableFuture<Got> got = node();
            first.answer(200, "v");
            assertEquals(200, Site.status(client.read()));
            assertEquals(200, Site.status(client.read()));
            assertArrayEquals(value, got.get().body());
        }
    }

    @Test
    void moreThanIsCarriedIsTooLarge() throws Exception {
        try (Peer.Wire client = site.client()) {
            client.write(head("Content-Length: " + (1L << 40), 60));
            assertEquals(413, Site.status(client.read()));
            assertNull(client.read());
        }
        assertEquals(0, site.service.status().requests());
    }
}
