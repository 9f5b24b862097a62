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
public final class HttpFrontend {

    private final Intake<Content> intake;
    private final HttpRequestReader requests;
    private final ClientTable table;
    private final Listeners listeners;
    private final ReturnDelay returnDelay;
    private HttpClientPolicy policy = HttpClientPolicy.PLATFORM;
    private boolean ready;
    private boolean hasSuccessor;

    /** A front whose connections go into a table that it may share with others. */
    public HttpFrontend(EventLoop loop, Intake<Content> intake, ClientTable table) {
        this.intake = intake;
        this.requests = new HttpRequestReader(intake::admit, intake::withdraw);
        this.returnDelay = intake.deadlines().returnDelay("http");
        this.table = table;
        this.listeners = new Listeners(loop, table, new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                HttpClientConnection connection = new HttpClientConnection(channel, HttpFrontend.this);
                channel.pipeline().addLast(connection.codec(), connection);
                table.add(connection);
            }
        });
    }

    /** Starts to listen at one more address; the future fails where it can't be had. */
    public ChannelFuture listen(Transport transport, SocketAddress address) {
        return listeners.listen(transport, address);
    }

    /** No new connections at an address; those that it has stay. */
    public void stopListening(SocketAddress address) {
        listeners.stopListening(address);
    }

    /** From now on {@code GET /up} answers that this proxy may be used. */
    public void markReady() {
        ready = true;
    }

    /** Another process of this proxy serves at its address: whoever asks here too is told that the proxy may be used. */
    public void markSucceeded() {
        hasSuccessor = true;
    }

    /** Where its connections come in. */
    public Listeners listeners() {
        return listeners;
    }

    /** No new connections. */
    public void stopListening() {
        listeners.close();
    }

    /** Other terms hold for requests that come, and for connections, from now on. */
    public void policy(HttpClientPolicy next) {
        policy = next;
        requests.policy(next);
    }

    /** What idempotency keys came to may be asked for from now on, at {@code /outcome/KEY}. */
    public void enableOutcomeQueries() {
        requests.enableOutcomeQueries();
    }

    HttpClientPolicy policy() {
        return policy;
    }

    /** The way of answers to clients. */
    ReturnDelay returnDelay() {
        return returnDelay;
    }

    /** Whether clients are told that this proxy may be used. */
    public boolean isUp() {
        return ready && (hasSuccessor || !table.isDraining()) && !table.isOutOfService();
    }

    Intake<Content> intake() {
        return intake;
    }

    HttpRequestReader requests() {
        return requests;
    }

    ClientTable table() {
        return table;
    }
}
