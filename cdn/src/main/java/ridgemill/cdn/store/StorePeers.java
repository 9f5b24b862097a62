package ridgemill.cdn.store;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import ridgemill.cdn.wire.Link;
import ridgemill.cdn.wire.LinkListener;
import ridgemill.cdn.wire.LinkMessages;
import ridgemill.cdn.wire.Message;
import ridgemill.cdn.wire.ReconnectingLink;
import ridgemill.gateway.net.SocketKind;

/** The links to other stores. A link is opened on first use and kept open. Used on the event loop. */
final class StorePeers implements LinkListener {

    private final EventLoop loop;
    private final SocketKind sockets;
    private final LinkMessages.Hello hello;
    private final int port;
    private final Map<String, ReconnectingLink> links = new LinkedHashMap<>();
    private Consumer<String> onConnected = address -> {};

    StorePeers(EventLoop loop, SocketKind sockets, LinkMessages.Hello hello, int port) {
        this.loop = loop;
        this.sockets = sockets;
        this.hello = hello;
        this.port = port;
    }

    /** Sets the callback that receives the IP address of each store whose link opens. */
    void setOnConnected(Consumer<String> callback) {
        onConnected = callback;
    }

    /** Returns the link to the store on the machine with this IP address. */
    ReconnectingLink linkTo(String address) {
        return links.computeIfAbsent(address, host -> {
            ReconnectingLink link = new ReconnectingLink(loop, sockets, new InetSocketAddress(host, port), hello, this);
            link.start();
            return link;
        });
    }

    /** Closes all links. */
    void close() {
        links.values().forEach(ReconnectingLink::close);
    }

    @Override
    public void opened(Link link) {
        onConnected.accept(link.remoteAddress());
    }

    @Override
    public void received(Link link, Message message) {}

    @Override
    public void closed(Link link) {}
}
