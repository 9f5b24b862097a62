package ridgemill.gateway.front.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import ridgemill.core.Dispatcher;
import ridgemill.gateway.front.ClientTable;
import ridgemill.gateway.net.Content;
import ridgemill.gateway.net.StrictHttp;
import ridgemill.gateway.net.Transport;

/** Takes clients' requests in over HTTP/1.1 and their answers out. What no node could make sense of is answered here. */
public final class HttpFront {

    /** How often the limits in time are looked at: one timer for all, as most connections never reach one. */
    private static final long SWEEP_MS = 250;

    private final EventLoop loop;
    private final Dispatcher<Content> dispatcher;
    private final HttpRequests requests;
    private final ClientTable table;
    private Channel listener;
    private boolean ready;

    /** {@code maxConnections} is how many clients' connections may be open. */
    public HttpFront(EventLoop loop, Dispatcher<Content> dispatcher, int maxConnections) {
        this.loop = loop;
        this.dispatcher = dispatcher;
        this.requests = new HttpRequests(dispatcher::enter, dispatcher::left);
        this.table = new ClientTable(maxConnections);
    }

    /** Starts to listen; the future fails where the address can't be had. */
    public ChannelFuture listen(Transport transport, SocketAddress address) {
        ChannelFuture bound = transport.server(loop)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        HttpClientConnection connection = new HttpClientConnection(channel, HttpFront.this);
                        channel.pipeline().addLast(connection.bytes(), new StrictHttp.Requests(),
                                new HttpResponseEncoder(), new HttpClientConnection.Bodies(), connection);
                        table.add(connection);
                    }
                }).bind(address);
        listener = bound.channel();
        table.onRoom(accept -> listener.config().setAutoRead(accept));
        loop.scheduleAtFixedRate(() -> table.sweep(System.nanoTime()), SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
        return bound;
    }

    /** From now on {@code GET /up} answers that this proxy may be used. */
    public void ready() {
        ready = true;
    }

    /** Connections that are open. */
    public int connections() {
        return table.size();
    }

    /** From now on each answer is its connection's last. */
    public void drain() {
        table.drain();
    }

    /** No new connections, and none is kept that has no request. */
    public void stop() {
        listener.close();
        table.closeIdle();
    }

    boolean isUp() {
        return ready && !table.isDraining();
    }

    Dispatcher<Content> dispatcher() {
        return dispatcher;
    }

    HttpRequests requests() {
        return requests;
    }

    ClientTable table() {
        return table;
    }
}
