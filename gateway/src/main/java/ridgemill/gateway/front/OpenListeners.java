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
final class OpenListeners {

    private final EventLoop loop;
    private final Map<SocketAddress, Channel> listenersByAddress = new HashMap<>();
    private boolean accepting = true;
    private boolean closed;

    OpenListeners(EventLoop loop) {
        this.loop = loop;
    }

    /** Takes in a listener that is being bound to an address; from any thread. */
    ChannelFuture add(SocketAddress address, ChannelFuture bound) {
        Channel listener = bound.channel();
        // On the loop, to which the others belong.
        loop.execute(() -> {
            if (closed) {
                listener.close();
                return;
            }
            listenersByAddress.put(address, listener);
            listener.closeFuture().addListener(f -> listenersByAddress.remove(address, listener));
            listener.config().setAutoRead(accepting);
        });
        return bound;
    }

    /** No new connections at an address; those that it has stay. */
    void close(SocketAddress address) {
        Channel listener = listenersByAddress.remove(address);
        if (listener != null) {
            listener.close();
        }
    }

    /** No new connections, now and from whatever is bound later. */
    void closeAll() {
        closed = true;
        for (Channel listener : List.copyOf(listenersByAddress.values())) {
            // In one step: what comes between the two is reset.
            SocketKind.of(loop).takeWaiting(listener);
            listener.close();
        }
    }

    /** Whether new connections are taken; those that are not wait with the system. */
    void setAccepting(boolean accept) {
        if (accepting != accept) {
            accepting = accept;
            listenersByAddress.values().forEach(l -> l.config().setAutoRead(accept));
        }
    }

    boolean isClosed() {
        return closed;
    }
}
