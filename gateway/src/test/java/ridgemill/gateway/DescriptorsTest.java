package ridgemill.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** With room for three clients, more than three are all served in the end. */
class DescriptorsTest {

    private static final int CLIENTS = 3;
    private static final int CROWD = 80;
    private static final String UP = "GET /up HTTP/1.1\r\nHost: s\r\n\r\n";

    private final Deque<Peer.Wire> clients = new ArrayDeque<>();
    private Site site;

    @BeforeEach
    void start() throws Exception {
        site = new Site();
        site.sockets = Service.RESERVED_DESCRIPTORS + 2 * CLIENTS;
        site.start("automatic", "60000", "");
    }

    @AfterEach
    void stop() throws Exception {
        for (Peer.Wire client : clients) {
            client.close();
        }
        site.close();
    }

    private Peer.Wire connect() throws Exception {
        clients.add(site.client());
        return clients.getLast();
    }

    @Test
    void idleClientsMakeRoomForNewOnes() throws Exception {
        for (int i = 0; i < 3 * CLIENTS; i++) {
            Peer.Wire client = connect();
            client.write(UP);
            Site.status(client.read());
        }
        assertNull(clients.getFirst().read(), "the one that waited longest was let go");
    }

    /** A site whose loop stands still at its first request until the latch is down; it refuses all that come. */
    private CountDownLatch startHeld(int sockets) throws Exception {
        site.close();
        site = new Site();
        site.sockets = sockets;
        site.start("automatic", "60000", "");
        CountDownLatch crowded = new CountDownLatch(1);
        site.router.onRequest = (request, out) -> {
            try {
                crowded.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            out.refuse(request.id(), 0);
        };
        return crowded;
    }

    /** They are all accepted in one go, as after a pause, and the end of one that is let go is told of only then. */
    @Test
    void aCrowdThatSendsHalfARequestKeepsNobodyOut() throws Exception {
        CountDownLatch crowded = startHeld(Service.RESERVED_DESCRIPTORS + CROWD);
        connect().write(site.get(Site.LONG_S));
        Deque<Peer.Wire> crowd = new ArrayDeque<>();
        for (int i = 0; i < CROWD; i++) {
            crowd.add(connect());
            crowd.getLast().write("GET /api/half HTTP/1.1\r\nX-Ca");
        }
        crowded.countDown();
        Peer.Wire good = connect();
        good.write(site.get(Site.LONG_S));
        assertEquals(503, Site.status(good.read()));
        for (Peer.Wire half : crowd) {
            assertEquals(0, half.socket().getInputStream().available(),
                    "the good client waited until the crowd's own time was up");
        }
    }

    /** A crowd of usual clients that is accepted in one go is no crowd that says nothing. */
    @Test
    void aCrowdWhoseRequestsAreThereIsServed() throws Exception {
        CountDownLatch crowded = startHeld(Service.RESERVED_DESCRIPTORS + 2 * CROWD);
        Deque<Peer.Wire> crowd = new ArrayDeque<>();
        for (int i = 0; i < CROWD / 2; i++) {
            crowd.add(connect());
            crowd.getLast().write(site.get(Site.LONG_S));
        }
        crowded.countDown();
        for (Peer.Wire client : crowd) {
            assertEquals(503, Site.status(client.read()));
        }
    }

    @Test
    void aBusyClientsEndLetsTheNextOneIn() throws Exception {
        Deque<Peer.Wire> nodes = new ArrayDeque<>();
        for (int i = 0; i < CLIENTS; i++) {
            connect().write(site.get(Site.LONG_S));
            nodes.add(site.node.next().wire());
        }
        Peer.Wire next = connect();
        next.write(site.get(Site.LONG_S));
        nodes.getFirst().answer(200, "first");
        assertEquals(200, Site.status(clients.getFirst().read()));
        Peer.Message waited = site.node.next();
        while (waited.text() == null) {
            // A connection at rest made room for the one that is needed.
            waited = site.node.next();
        }
        waited.wire().answer(200, "next");
        assertEquals(200, Site.status(next.read()));
    }
}
