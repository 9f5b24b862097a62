package ridgemill.testbed.peers;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * The network between proxies, which carries datagrams late or not at all. Each proxy is seen by the others under an
 * address of this network, and its own socket is seen by nobody.
 */
public final class PeerNet implements AutoCloseable {

    private final EventLoop loop;
    private final SplittableRandom random;
    private final List<Channel> seen = new ArrayList<>();
    private final List<InetSocketAddress> sockets;
    private volatile double lossShare;
    private volatile double delayMs;

    /** {@code sockets} is where each proxy listens, by its number. */
    public PeerNet(EventLoop loop, List<InetSocketAddress> sockets, long seed) {
        this.loop = loop;
        this.sockets = List.copyOf(sockets);
        this.random = new SplittableRandom(seed);
        for (int i = 0; i < sockets.size(); i++) {
            int number = i;
            seen.add(new Bootstrap().group(loop).channel(NioDatagramChannel.class)
                    .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                        @Override
                        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                            carry(number, packet);
                        }
                    }).bind(new InetSocketAddress("127.0.0.1", 0)).syncUninterruptibly().channel());
        }
    }

    /** The addresses under which proxies see one another, by number. */
    public List<InetSocketAddress> addresses() {
        return seen.stream().map(c -> (InetSocketAddress) c.localAddress()).toList();
    }

    /** Loses this part of all datagrams and delays the rest. */
    public void set(double loss, double delay) {
        lossShare = loss;
        delayMs = delay;
    }

    private void carry(int to, DatagramPacket packet) {
        int from = sockets.indexOf(packet.sender());
        if (from < 0 || random.nextDouble() < lossShare) {
            return;
        }
        DatagramPacket on = new DatagramPacket(packet.content().copy(), sockets.get(to));
        loop.schedule(() -> seen.get(from).writeAndFlush(on), (long) (delayMs * 1e3), TimeUnit.MICROSECONDS);
    }

    @Override
    public void close() {
        for (Channel channel : seen) {
            channel.close().syncUninterruptibly();
        }
    }
}
