package ridgemill.gateway.front;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ridgemill.gateway.net.SocketKind;

/** The listeners that a loop has open, which accept or stop accepting together. Used on that loop, but for {@link #add}. */
final class OpenAddresses {

    private final EventLoop loop;
    private final Map<SocketAddress, Channel> open = new HashMap<>();
    private boolean accepting = true;
    private boolean over;

    OpenAddresses(EventLoop loop) {
        this.loop = loop;
    }

    /** Takes in a listener that is being bound to an address; from any thread. */
    ChannelFuture add(SocketAddress address, ChannelFuture bound) {
        Channel listener = bound.channel();
        // On the loop, to which the others belong.
        loop.execute(() -> {
            if (over) {
                listener.close();
                return;
            }
            open.put(address, listener);
            listener.closeFuture().addListener(f -> open.remove(address, listener));
            listener.config().setAutoRead(accepting);
        });
        return bound;
    }

    /** No new connections at an address; those that it has stay. */
    void unlisten(SocketAddress address) {
        Channel listener = open.remove(address);
        if (listener != null) {
            listener.close();
        }
    }

    /** No new connections, now and from whatever is bound later. */
    void close() {
        over = true;
        for (Channel listener : List.copyOf(open.values())) {
            // In one step: what comes between the two is reset.
            SocketKind.of(loop).takeWaiting(listener);
            listener.close();
        }
    }

    /** Whether new connections are taken; those that are not wait with the system. */
    void accept(boolean accept) {
        if (accepting != accept) {
            accepting = accept;
            open.values().forEach(l -> l.config().setAutoRead(accept));
        }
    }

    boolean isOver() {
        return over;
    }
}
