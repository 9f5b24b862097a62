package ridgemill.testbed.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Datagrams between proxies arrive from the sender's address in this network, or not at all. */
class PeerNetTest {

    private static final int NOTHING_MS = 300;

    @Test
    void datagramsAreCarriedUnderTheNetworksAddressesAndLost() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        InetAddress loopback = InetAddress.getLoopbackAddress();
        try (DatagramSocket a = new DatagramSocket(0, loopback);
                DatagramSocket b = new DatagramSocket(0, loopback);
                DatagramSocket stranger = new DatagramSocket(0, loopback);
                PeerNet net = new PeerNet(
                        group.next(),
                        List.of((InetSocketAddress) a.getLocalSocketAddress(), (InetSocketAddress)
                                b.getLocalSocketAddress()),
                        1)) {
            b.setSoTimeout(20_000);
            byte[] hello = "hello".getBytes();
            a.send(new DatagramPacket(hello, hello.length, net.addresses().get(1)));
            DatagramPacket got = new DatagramPacket(new byte[100], 100);
            b.receive(got);
            assertEquals("hello", new String(got.getData(), 0, got.getLength()));
            assertEquals(net.addresses().get(0), got.getSocketAddress());
            b.setSoTimeout(NOTHING_MS);
            stranger.send(
                    new DatagramPacket(hello, hello.length, net.addresses().get(1)));
            assertThrows(SocketTimeoutException.class, () -> b.receive(got));
            net.set(1, 0);
            a.send(new DatagramPacket(hello, hello.length, net.addresses().get(1)));
            assertThrows(SocketTimeoutException.class, () -> b.receive(got));
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
        }
    }

    private interface Play {
        void play(DatagramSocket a, DatagramSocket b, PeerNet net) throws Exception;
    }

    private static void between(Play play) throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        InetAddress loopback = InetAddress.getLoopbackAddress();
        try (DatagramSocket a = new DatagramSocket(0, loopback);
                DatagramSocket b = new DatagramSocket(0, loopback);
                PeerNet net = new PeerNet(
                        group.next(),
                        List.of((InetSocketAddress) a.getLocalSocketAddress(), (InetSocketAddress)
                                b.getLocalSocketAddress()),
                        1)) {
            a.setSoTimeout(20_000);
            b.setSoTimeout(20_000);
            play.play(a, b, net);
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
        }
    }

    private static void say(DatagramSocket from, InetSocketAddress to, String text) throws Exception {
        from.send(new DatagramPacket(text.getBytes(), text.length(), to));
    }

    private static String hear(DatagramSocket at) throws Exception {
        DatagramPacket got = new DatagramPacket(new byte[100], 100);
        at.receive(got);
        return new String(got.getData(), 0, got.getLength(), StandardCharsets.ISO_8859_1);
    }

    @Test
    void oneWayIsCutAndTheOtherIsNot() throws Exception {
        between((a, b, net) -> {
            net.change(0, 1, w -> w.cut(true));
            say(a, net.addresses().get(1), "there");
            say(b, net.addresses().get(0), "back");
            assertEquals("back", hear(a));
            b.setSoTimeout(NOTHING_MS);
            assertThrows(SocketTimeoutException.class, () -> hear(b));
            net.change(w -> Way.CLEAR);
            net.split(List.of(1));
            say(b, net.addresses().get(0), "back");
            a.setSoTimeout(NOTHING_MS);
            assertThrows(SocketTimeoutException.class, () -> hear(a));
            assertEquals(2, net.counts().lost());
        });
    }

    @Test
    void datagramsAreDoubledReplayedSpoiltAndComeOutOfOrder() throws Exception {
        between((a, b, net) -> {
            net.change(w -> w.doubled(1));
            say(a, net.addresses().get(1), "twice");
            assertEquals("twice", hear(b));
            assertEquals("twice", hear(b));
            net.change(w -> Way.CLEAR.replayed(1));
            say(a, net.addresses().get(1), "new");
            assertEquals(Set.of("twice", "new"), Set.of(hear(b), hear(b)));
            net.change(w -> Way.CLEAR.flipped(1));
            say(a, net.addresses().get(1), "clean");
            byte[] spoilt = hear(b).getBytes(StandardCharsets.ISO_8859_1);
            byte[] clean = "clean".getBytes();
            int bits = 0;
            for (int i = 0; i < clean.length; i++) {
                bits += Integer.bitCount((clean[i] ^ spoilt[i]) & 0xff);
            }
            assertEquals(1, bits);
            net.change(w -> Way.CLEAR.delay(1, 200));
            List<String> sent = IntStream.range(0, 20).mapToObj(String::valueOf).toList();
            List<String> came = new ArrayList<>();
            for (String s : sent) {
                say(a, net.addresses().get(1), s);
            }
            for (int i = 0; i < sent.size(); i++) {
                came.add(hear(b));
            }
            assertNotEquals(sent, came);
            assertEquals(Set.copyOf(sent), Set.copyOf(came));
        });
    }
}
