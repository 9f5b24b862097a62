package ridgemill.gateway.front;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ridgemill.gateway.net.SocketKind;

/**
 * The open listening sockets of one event loop, which start and stop accepting together. Used on that loop only, except
 * for {@link #add}.
 */
final class OpenListeners {

    private final EventLoop loop;
    private final Map<SocketAddress, Channel> listenersByAddress = new HashMap<>();
    private boolean accepting = true;
    private boolean closed;

    OpenListeners(EventLoop loop) {
        this.loop = loop;
    }

    /** Adds a listener that is being bound to an address. May be called from any thread. */
    ChannelFuture add(SocketAddress address, ChannelFuture bound) {
        Channel listener = bound.channel();
        // The other fields are accessed on the loop only.
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

    /** Closes the listener of an address. Connections accepted there stay open. */
    void close(SocketAddress address) {
        Channel listener = listenersByAddress.remove(address);
        if (listener != null) {
            listener.close();
        }
    }

    /** Closes all listeners, and those that are bound later. */
    void closeAll() {
        closed = true;
        for (Channel listener : List.copyOf(listenersByAddress.values())) {
            // One right after the other: the system resets connections that arrive between the two calls.
            SocketKind.of(loop).takeWaiting(listener);
            listener.close();
        }
    }

    /** Starts or stops accepting. Connections that are not accepted wait in the system's backlog. */
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
