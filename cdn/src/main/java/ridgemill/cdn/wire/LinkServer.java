package ridgemill.cdn.wire;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import java.net.InetSocketAddress;
import ridgemill.gateway.net.SocketKind;

/** Accepts links from other processes of the system. */
public final class LinkServer {

    private static final int BACKLOG = 1024;

    private final Channel listener;

    private LinkServer(Channel listener) {
        this.listener = listener;
    }

    /**
     * Listens at an address and reports each link to the listener.
     *
     * @throws io.netty.channel.ChannelException if the address can't be had
     */
    public static LinkServer listen(
            EventLoopGroup loop, SocketKind sockets, InetSocketAddress address, LinkListener listener) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loop)
                .channel(sockets.server())
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new MessageCodec(), new Link(listener, null));
                    }
                });
        return new LinkServer(bootstrap.bind(address).syncUninterruptibly().channel());
    }

    /** The address that is listened at. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Stops accepting links. */
    public void close() {
        listener.close();
    }
}
