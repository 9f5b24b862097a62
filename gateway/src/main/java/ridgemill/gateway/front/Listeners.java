package ridgemill.gateway.front;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ridgemill.gateway.net.Transport;

/** The addresses where one front takes connections; they accept while the table of clients has room. */
public final class Listeners {

    private final EventLoop loop;
    private final ChannelHandler accepted;
    private final Map<SocketAddress, Channel> open = new HashMap<>();
    private boolean accepting = true;

    /** {@code accepted} sets up each connection and takes it into the table. */
    public Listeners(EventLoop loop, ClientTable table, ChannelHandler accepted) {
        this.loop = loop;
        this.accepted = accepted;
        table.onRoom(this::accept);
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
        ChannelFuture bound = transport.server(loop).childHandler(accepted).bind(address);
        Channel listener = bound.channel();
        // On the loop, to which the others belong.
        loop.execute(() -> {
            open.put(address, listener);
            listener.closeFuture().addListener(f -> open.remove(address, listener));
            listener.config().setAutoRead(accepting);
        });
        return bound;
    }

    /** No new connections at an address; those that it has stay. */
    public void unlisten(SocketAddress address) {
        Channel listener = open.remove(address);
        if (listener != null) {
            listener.close();
        }
    }

    /** No new connections. */
    public void close() {
        List.copyOf(open.values()).forEach(Channel::close);
    }

    private void accept(boolean accept) {
        accepting = accept;
        open.values().forEach(l -> l.config().setAutoRead(accept));
    }
}
