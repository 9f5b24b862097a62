package ridgemill.cdn.registry;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import ridgemill.cdn.wire.LinkListener;
import ridgemill.cdn.wire.LinkMessages;
import ridgemill.cdn.wire.ReconnectingLink;
import ridgemill.gateway.net.SocketKind;

/**
 * Opens the registry's links to other processes.
 *
 * @param loop the event loop of the registry
 * @param sockets the kind of sockets to use
 * @param hello the message by which the registry identifies itself
 */
record LinkOpener(EventLoop loop, SocketKind sockets, LinkMessages.Hello hello) {

    /** Opens a link and keeps it open. */
    ReconnectingLink open(String host, int port, LinkListener listener) {
        ReconnectingLink link = new ReconnectingLink(loop, sockets, new InetSocketAddress(host, port), hello, listener);
        link.start();
        return link;
    }
}
