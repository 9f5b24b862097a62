package ridgemill.gateway;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** Datagrams between proxies: only peers are heard, and nothing over the limit goes out. */
class PeerMessengerTest {

    private static final int TIMEOUT_MS = (int) (Peer.PATIENCE_S * 1000);

    /** A peer's socket at a free port; waits for a datagram as long as tests do. */
    static DatagramSocket socket() throws Exception {
        DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        socket.setSoTimeout(TIMEOUT_MS);
        return socket;
    }

    static byte[] receive(DatagramSocket socket) throws Exception {
        DatagramPacket packet = new DatagramPacket(new byte[1000], 1000);
        socket.receive(packet);
        return Arrays.copyOf(packet.getData(), packet.getLength());
    }

    /** Starts the site's proxy as number 0, with this peer as number 1. */
    static void startWithPeer(Site site, DatagramSocket peer) throws Exception {
        site.start("automatic", "60000", "\"peer_listen\":\"127.0.0.1:0\",\"peers\":[\"127.0.0.1:9\",\"127.0.0.1:"
                + peer.getLocalPort() + "\"],");
    }

    @Test
    void peersAreHeardAndStrangersAreNot() throws Exception {
        try (DatagramSocket peer = socket(); DatagramSocket stranger = socket(); Site site = new Site()) {
            startWithPeer(site, peer);
            int own = site.service.peerListenAddress().getPort();
            InetAddress loopback = InetAddress.getLoopbackAddress();
            stranger.send(new DatagramPacket(new byte[] {9}, 1, loopback, own));
            peer.send(new DatagramPacket(new byte[PeerMessenger.MAX_MESSAGE_BYTES + 1], PeerMessenger.MAX_MESSAGE_BYTES + 1, loopback, own));
            peer.send(new DatagramPacket(new byte[] {1, 2}, 2, loopback, own));
            Scripted.Heard heard = Scripted.next(site.router.heard);
            assertEquals(1, heard.from());
            assertArrayEquals(new byte[] {1, 2}, heard.contents());
            assertTrue(site.router.heard.isEmpty());

            byte[] reused = "old".getBytes(StandardCharsets.US_ASCII);
            site.router.onRequest = (request, out) -> {
                out.broadcast(new byte[PeerMessenger.MAX_MESSAGE_BYTES + 1]);
                out.broadcast(reused);
                reused[0] = 'X';
                out.refuse(request.id(), 0);
            };
            try (Peer.Wire client = site.client()) {
                client.write(site.get(Site.LONG_S));
                assertEquals("old", new String(receive(peer), StandardCharsets.US_ASCII));
            }
        }
    }
}
