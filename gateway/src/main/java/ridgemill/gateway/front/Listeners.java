package ridgemill.gateway.front;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import ridgemill.gateway.net.Transport;

/** The addresses where one front takes connections; they accept while the table of clients has room. */
public final class Listeners {

    private final EventLoop loop;
    private final ChannelHandler accepted;
    private final OpenAddresses open;

    /** {@code accepted} sets up each connection and takes it into the table. */
    public Listeners(EventLoop loop, ClientTable table, ChannelHandler accepted) {
        this.loop = loop;
        this.accepted = accepted;
        this.open = new OpenAddresses(loop);
        table.onRoom(open::accept);
    }

    /** What sets up a connection, for whoever takes it in elsewhere. */
    ChannelHandler accepted() {
        return accepted;
    }

    /** The loop that its connections belong to. */
    EventLoop loop() {
        return loop;
    }

    /** Starts to listen at one more address; the future fails where it can't be had. */
    public ChannelFuture listen(Transport transport, SocketAddress address) {
        return open.add(address, transport.server(loop).childHandler(accepted).bind(address));
    }

    /** No new connections at an address; those that it has stay. */
    public void unlisten(SocketAddress address) {
        open.unlisten(address);
    }

    /** No new connections. */
    public void close() {
        open.close();
    }
}
