package ridgemill.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A planned restart loses nothing. */
class DrainTest {

    private Site site;

    @BeforeEach
    void start() throws Exception {
        site = Site.started();
    }

    @AfterEach
    void stop() throws Exception {
        site.close();
    }

    @Test
    @Timeout(Peer.PATIENCE_S)
    void whatWasTakenIsAnsweredAndNewConnectionsStillComeForAWhile() throws Exception {
        try (Peer.Wire held = site.client(); Peer.Wire kept = site.client(); Peer.Wire busy = site.client()) {
            held.write(site.get(Site.LONG_S));
            Peer.Wire node = site.node.next().wire();
            kept.write("GET /up HTTP/1.1\r\nHost: s\r\n\r\n");
            kept.read();
            site.service.beginDrain();
            try (Peer.Wire late = site.client()) {
                late.write("GET /up HTTP/1.1\r\nHost: s\r\n\r\n");
                String answer = late.read();
                assertEquals(503, Site.status(answer), "not to be used any more");
                assertEquals("close", new Peer.Message(answer, late).header("Connection"));
                assertNull(late.read());
            }
            busy.write(site.get(Site.LONG_S));
            site.node.next().wire().answer(200, "v");
            assertEquals("close", new Peer.Message(busy.read(), busy).header("Connection"));
            site.service.endDrain();
            assertNull(kept.read(), "an idle client is let go");
            node.answer(200, "v");
            String answer = held.read();
            assertEquals(200, Site.status(answer));
            assertEquals("close", new Peer.Message(answer, held).header("Connection"));
            site.service.awaitEnd();
        }
    }

    /** Guards against a request that is closed unread because the process was busy or stood still. */
    @Test
    @Timeout(Peer.PATIENCE_S)
    void requestThatWaitsUnreadOnAnIdleConnectionIsAnswered() throws Exception {
        try (Peer.Wire client = site.client()) {
            client.write("GET /up HTTP/1.1\r\nHost: s\r\n\r\n");
            client.read();
            CountDownLatch sent = new CountDownLatch(1);
            site.service.beginDrain();
            CountDownLatch held = new CountDownLatch(1);
            site.service.loop().submit(() -> {
                held.countDown();
                sent.await();
                return null;
            });
            held.await();
            site.service.endDrain();
            client.write(site.get(Site.LONG_S));
            sent.countDown();
            site.node.next().wire().answer(200, "v");
            String answer = client.read();
            assertEquals(200, Site.status(answer));
            assertEquals("close", new Peer.Message(answer, client).header("Connection"));
        }
    }
}
