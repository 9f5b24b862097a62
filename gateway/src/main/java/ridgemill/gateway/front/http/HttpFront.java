package ridgemill.gateway.front.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import ridgemill.core.Intake;
import ridgemill.deadline.ReturnDelay;
import ridgemill.gateway.front.ClientTable;
import ridgemill.gateway.front.Listeners;
import ridgemill.gateway.net.Content;
import ridgemill.gateway.net.Transport;

/** Takes clients' requests in over HTTP/1.1 and their answers out. What no node could make sense of is answered here. */
public final class HttpFront {

    private final Intake<Content> intake;
    private final HttpRequests requests;
    private final ClientTable table;
    private final Listeners listeners;
    private final ReturnDelay wayBack;
    private HttpTerms terms = HttpTerms.PLATFORM;
    private boolean ready;
    private boolean succeeded;

    /** A front whose connections go into a table that it may share with others. */
    public HttpFront(EventLoop loop, Intake<Content> intake, ClientTable table) {
        this.intake = intake;
        this.requests = new HttpRequests(intake::admit, intake::withdraw);
        this.wayBack = intake.deadlines().returnDelay("http");
        this.table = table;
        this.listeners = new Listeners(loop, table, new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                HttpClientConnection connection = new HttpClientConnection(channel, HttpFront.this);
                channel.pipeline().addLast(connection.bytes(), connection);
                table.add(connection);
            }
        });
    }

    /** Starts to listen at one more address; the future fails where it can't be had. */
    public ChannelFuture listen(Transport transport, SocketAddress address) {
        return listeners.listen(transport, address);
    }

    /** No new connections at an address; those that it has stay. */
    public void unlisten(SocketAddress address) {
        listeners.unlisten(address);
    }

    /** From now on {@code GET /up} answers that this proxy may be used. */
    public void ready() {
        ready = true;
    }

    /** Another process of this proxy serves at its address: whoever asks here too is told that the proxy may be used. */
    public void succeeded() {
        succeeded = true;
    }

    /** Where its connections come in. */
    public Listeners listeners() {
        return listeners;
    }

    /** No new connections. */
    public void stop() {
        listeners.close();
    }

    /** Other terms hold for requests that come, and for connections, from now on. */
    public void terms(HttpTerms next) {
        terms = next;
        requests.terms(next);
    }

    /** What idempotency keys came to may be asked for from now on, at {@code /outcome/KEY}. */
    public void tellOutcomes() {
        requests.tellOutcomes();
    }

    HttpTerms terms() {
        return terms;
    }

    /** The way of answers to clients. */
    ReturnDelay wayBack() {
        return wayBack;
    }

    /** Whether clients are told that this proxy may be used. */
    public boolean isUp() {
        return ready && (succeeded || !table.isDraining()) && !table.isAside();
    }

    Intake<Content> intake() {
        return intake;
    }

    HttpRequests requests() {
        return requests;
    }

    ClientTable table() {
        return table;
    }
}
