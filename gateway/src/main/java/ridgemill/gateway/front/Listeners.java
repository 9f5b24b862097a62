package ridgemill.gateway.front;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import ridgemill.gateway.net.Transport;

/** Listening sockets of one frontend. They accept connections while the client table has free capacity. */
public final class Listeners {

    private final EventLoop loop;
    private final ChannelHandler channelInitializer;
    private final OpenListeners openListeners;

    /** {@code channelInitializer} sets up each accepted connection and adds it to the table. */
    public Listeners(EventLoop loop, ClientTable table, ChannelHandler channelInitializer) {
        this.loop = loop;
        this.channelInitializer = channelInitializer;
        this.openListeners = new OpenListeners(loop);
        table.onAcceptingChanged(openListeners::setAccepting);
    }

    /** Returns the handler that sets up a connection, for an acceptor on another loop. */
    ChannelHandler channelInitializer() {
        return channelInitializer;
    }

    /** Returns the event loop of this frontend's connections. */
    EventLoop loop() {
        return loop;
    }

    /** Starts listening on an additional address. The future fails if the address cannot be bound. */
    public ChannelFuture listen(Transport transport, SocketAddress address) {
        return openListeners.add(address, transport.server(loop).childHandler(channelInitializer).bind(address));
    }

    /** Stops accepting connections on an address. Connections accepted there stay open. */
    public void stopListening(SocketAddress address) {
        openListeners.close(address);
    }

    /** Stops accepting connections on all addresses. */
    public void close() {
        openListeners.closeAll();
    }
}
