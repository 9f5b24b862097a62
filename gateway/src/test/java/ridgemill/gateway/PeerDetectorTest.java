package ridgemill.gateway;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** A start hears whether peers are at work, and leaves the address free for the proxy. */
class PeerDetectorTest {

    @Test
    void aPeersMessageIsHeardAndTheAddressIsFreeAfterwards() throws Exception {
        InetSocketAddress address;
        try (PeerDetector ear = new PeerDetector(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
                DatagramSocket peer = new DatagramSocket()) {
            address = ear.address();
            assertFalse(ear.hasMessage(0));
            peer.send(new DatagramPacket(new byte[] {1}, 1, address));
            assertTrue(ear.hasMessage(TimeUnit.SECONDS.toMillis(Peer.PATIENCE_S)));
            assertTrue(ear.hasMessage(0), "what was heard stays heard");
        }
        try (PeerDetector next = new PeerDetector(address)) {
            assertFalse(next.hasMessage(0));
        }
    }

    @Test
    void withoutAnAddressNothingIsHeard() throws Exception {
        try (PeerDetector ear = new PeerDetector(null)) {
            assertNull(ear.address());
            assertFalse(ear.hasMessage(0));
        }
    }
}
