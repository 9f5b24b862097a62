package ridgemill.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import org.junit.jupiter.api.Test;
import ridgemill.connections.ConnectionReleaseRequests;
import ridgemill.policy.Router.Outcome;

/** A node that takes no more connections: who is turned away says so, and who keeps an idle one there gives it up. */
class RoomTest {

    private static final int CALL_EACH_MS = 50;

    private static Site site(DatagramSocket peer) throws Exception {
        Site site = new Site();
        PeerMessengerTest.startWithPeer(site, peer);
        return site;
    }

    @Test
    void oneThatIsTurnedAwayOnANewConnectionCallsForRoom() throws Exception {
        try (DatagramSocket peer = PeerMessengerTest.socket(); Site site = site(peer); Peer.Wire client = site.client()) {
            client.write(site.get(Site.LONG_S));
            site.node.await().wire().answer(503, "", "X-Rejected: 1");
            assertEquals(Outcome.NO_PLACE, Scripted.next(site.router.ends).outcome());
            assertTrue(ConnectionReleaseRequests.isForNode(PeerMessengerTest.receive(peer), "c0"));
        }
    }

    @Test
    void anIdleConnectionIsGivenUpForOneWhoCalls() throws Exception {
        try (DatagramSocket peer = PeerMessengerTest.socket(); Site site = site(peer); Peer.Wire client = site.client()) {
            client.write(site.get(Site.LONG_S));
            site.node.await().wire().answer(200, "v");
            assertEquals(Outcome.OK, Scripted.next(site.router.ends).outcome());
            byte[] call = new ConnectionReleaseRequests().connectionRejected("c0", 0);
            // Called for until it has been idle for long enough; nothing else would close it for 45 s.
            Thread calls = new Thread(() -> {
                try {
                    while (!Thread.currentThread().isInterrupted()) {
                        peer.send(new DatagramPacket(call, call.length, InetAddress.getLoopbackAddress(),
                                site.service.peerListenAddress().getPort()));
                        Thread.sleep(CALL_EACH_MS);
                    }
                } catch (Exception e) {
                    // The test is over.
                }
            });
            calls.start();
            try {
                assertNull(site.node.next().text(), "the connection has ended");
            } finally {
                calls.interrupt();
                calls.join();
            }
            assertTrue(site.router.heard.isEmpty(), "a call is not the decisions' matter");
        }
    }
}
