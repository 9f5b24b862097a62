package ridgemill.cdn.wire;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import ridgemill.cdn.net.ServerBootstraps;
import ridgemill.gateway.net.SocketKind;

/** Accepts links from other processes of the system. */
public final class LinkServer {

    private static final int BACKLOG = 1024;

    private final Channel listener;

    private LinkServer(Channel listener) {
        this.listener = listener;
    }

    /**
     * Listens at an address and reports each link to the listener. Blocks, so it must not be called on the event loop.
     *
     * @throws io.netty.channel.ChannelException if the address cannot be bound
     */
    public static LinkServer listen(
            EventLoopGroup loop, SocketKind sockets, InetSocketAddress address, LinkListener listener) {
        return new LinkServer(
                bind(loop, sockets, address, listener).syncUninterruptibly().channel());
    }

    /**
     * Like {@link #listen}, without blocking, so it may be called on the event loop. The future fails if the address
     * cannot be bound.
     */
    public static CompletableFuture<LinkServer> listenAsync(
            EventLoopGroup loop, SocketKind sockets, InetSocketAddress address, LinkListener listener) {
        CompletableFuture<LinkServer> opened = new CompletableFuture<>();
        bind(loop, sockets, address, listener).addListener((ChannelFutureListener) bound -> {
            if (bound.isSuccess()) {
                opened.complete(new LinkServer(bound.channel()));
            } else {
                opened.completeExceptionally(bound.cause());
            }
        });
        return opened;
    }

    private static ChannelFuture bind(
            EventLoopGroup loop, SocketKind sockets, InetSocketAddress address, LinkListener listener) {
        return ServerBootstraps.create(
                        loop,
                        sockets,
                        BACKLOG,
                        channel -> channel.pipeline().addLast(new MessageCodec(), new Link(listener, null)))
                .bind(address);
    }

    /** Returns the address of the listening socket. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Stops accepting links. */
    public void close() {
        listener.close();
    }
}
