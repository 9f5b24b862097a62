package ridgemill.gateway.front;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import ridgemill.gateway.net.Transport;

/** The addresses where one front takes connections; they accept while the table of clients has room. */
public final class Listeners {

    private final EventLoop loop;
    private final ChannelHandler channelInitializer;
    private final OpenListeners openListeners;

    /** {@code accepted} sets up each connection and takes it into the table. */
    public Listeners(EventLoop loop, ClientTable table, ChannelHandler accepted) {
        this.loop = loop;
        this.channelInitializer = accepted;
        this.openListeners = new OpenListeners(loop);
        table.onAcceptingChanged(openListeners::setAccepting);
    }

    /** What sets up a connection, for whoever takes it in elsewhere. */
    ChannelHandler channelInitializer() {
        return channelInitializer;
    }

    /** The loop that its connections belong to. */
    EventLoop loop() {
        return loop;
    }

    /** Starts to listen at one more address; the future fails where it can't be had. */
    public ChannelFuture listen(Transport transport, SocketAddress address) {
        return openListeners.add(address, transport.server(loop).childHandler(channelInitializer).bind(address));
    }

    /** No new connections at an address; those that it has stay. */
    public void stopListening(SocketAddress address) {
        openListeners.close(address);
    }

    /** No new connections. */
    public void close() {
        openListeners.closeAll();
    }
}
