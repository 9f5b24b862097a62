package ridgemill.gateway;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.BiConsumer;
import ridgemill.gateway.net.Log;
import ridgemill.gateway.net.SocketKind;

/** Exchanges short messages with other proxies over UDP. They may be delayed, lost, or sent by unknown hosts. */
final class PeerMessenger {

    static final int MAX_MESSAGE_BYTES = 256;

    private final EventLoop loop;
    private final Config config;
    private final BiConsumer<Integer, byte[]> listener;
    private final int self;
    private final Log log = new Log();
    private Channel channel;
    private boolean closed;

    /**
     * Creates a messenger; {@code listener} receives the sender's index among the peers and the message, on the loop.
     */
    PeerMessenger(EventLoop loop, Config config, BiConsumer<Integer, byte[]> listener) {
        this.loop = loop;
        this.config = config;
        this.listener = listener;
        this.self = config.settings().proxyIndex();
    }

    /** Starts to listen; {@code shared} allows another process of this proxy to listen at the same address. */
    ChannelFuture listen(boolean shared) {
        Bootstrap bootstrap = new Bootstrap().group(loop).channel(SocketKind.of(loop).datagram()).handler(new Inbox());
        if (shared) {
            bootstrap.option(SocketKind.of(loop).sharedPort(), true);
        }
        ChannelFuture bound = bootstrap.bind(config.peerListen());
        channel = bound.channel();
        return bound;
    }

    InetSocketAddress listenAddress() {
        return (InetSocketAddress) channel.localAddress();
    }

    /** Stops receiving and sending, because another process of this proxy takes over. Called on the event loop. */
    void close() {
        closed = true;
        channel.close();
    }

    /** Sends a message to all other proxies. */
    void send(byte[] contents) {
        if (closed) {
            return;
        }
        if (channel == null || contents.length > MAX_MESSAGE_BYTES) {
            log.odd("a message to peers was not sent: " + contents.length + " bytes");
        } else if (config.peerBroadcastAddress() != null) {
            send(contents, config.peerBroadcastAddress());
        } else {
            List<InetSocketAddress> peers = config.peers();
            for (int i = 0; i < peers.size(); i++) {
                if (i != self) {
                    send(contents, peers.get(i));
                }
            }
        }
    }

    /** Sends a message to one other proxy, by its index among the peers. */
    void send(int to, byte[] contents) {
        if (!closed && channel != null && to != self) {
            send(contents, config.peers().get(to));
        }
    }

    private void send(byte[] contents, InetSocketAddress to) {
        channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(contents), to));
    }

    private final class Inbox extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            int from = config.peers().indexOf(packet.sender());
            int length = packet.content().readableBytes();
            if (from < 0 || length > MAX_MESSAGE_BYTES) {
                log.odd("a datagram was dropped: " + length + " bytes from " + packet.sender());
            } else if (from != self) {
                listener.accept(from, ByteBufUtil.getBytes(packet.content()));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // An unreachable peer causes an error on this socket. The socket remains usable.
            log.odd("peer socket: " + cause);
        }
    }
}
