package ridgemill.testbed.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Datagrams between proxies arrive from the sender's address in this network, or not at all. */
class PeerNetTest {

    private static final int NOTHING_MS = 300;

    @Test
    void datagramsAreCarriedUnderTheNetworksAddressesAndLost() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        InetAddress loopback = InetAddress.getLoopbackAddress();
        try (DatagramSocket a = new DatagramSocket(0, loopback); DatagramSocket b = new DatagramSocket(0, loopback);
                DatagramSocket stranger = new DatagramSocket(0, loopback);
                PeerNet net = new PeerNet(group.next(), List.of((InetSocketAddress) a.getLocalSocketAddress(),
                        (InetSocketAddress) b.getLocalSocketAddress()), 1)) {
            b.setSoTimeout(20_000);
            byte[] hello = "hello".getBytes();
            a.send(new DatagramPacket(hello, hello.length, net.addresses().get(1)));
            DatagramPacket got = new DatagramPacket(new byte[100], 100);
            b.receive(got);
            assertEquals("hello", new String(got.getData(), 0, got.getLength()));
            assertEquals(net.addresses().get(0), got.getSocketAddress());
            b.setSoTimeout(NOTHING_MS);
            stranger.send(new DatagramPacket(hello, hello.length, net.addresses().get(1)));
            assertThrows(SocketTimeoutException.class, () -> b.receive(got));
            net.set(1, 0);
            a.send(new DatagramPacket(hello, hello.length, net.addresses().get(1)));
            assertThrows(SocketTimeoutException.class, () -> b.receive(got));
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
        }
    }
}
