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

/**
 * Receives clients' requests over HTTP/1.1 and sends their responses. Invalid requests are answered here, without a
 * node.
 */
public final class HttpFrontend {

    private final Intake<Content> intake;
    private final HttpRequestReader requests;
    private final ClientTable table;
    private final Listeners listeners;
    private final ReturnDelay returnDelay;
    private HttpClientPolicy policy = HttpClientPolicy.PLATFORM;
    private boolean ready;
    private boolean hasSuccessor;

    /** Creates a frontend whose connections are added to a table that other frontends may share. */
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

    /** Starts listening on an additional address. The future fails if the address cannot be bound. */
    public ChannelFuture listen(Transport transport, SocketAddress address) {
        return listeners.listen(transport, address);
    }

    /** Stops accepting connections on an address. Connections accepted there stay open. */
    public void stopListening(SocketAddress address) {
        listeners.stopListening(address);
    }

    /** Makes {@code GET /up} report from now on that this proxy is ready. */
    public void markReady() {
        ready = true;
    }

    /**
     * Records that another process of this proxy serves on its address, so that {@code GET /up} here reports it as
     * ready too.
     */
    public void markSucceeded() {
        hasSuccessor = true;
    }

    /** Returns the listeners that accept its connections. */
    public Listeners listeners() {
        return listeners;
    }

    /** Stops accepting connections on all addresses. */
    public void stopListening() {
        listeners.close();
    }

    /** Sets the policy for requests and connections that arrive from now on. */
    public void policy(HttpClientPolicy newPolicy) {
        policy = newPolicy;
        requests.policy(newPolicy);
    }

    /** Serves the outcomes of idempotency keys from now on, at {@code /outcome/KEY}. */
    public void enableOutcomeQueries() {
        requests.enableOutcomeQueries();
    }

    HttpClientPolicy policy() {
        return policy;
    }

    /** Returns the measured time that responses take to reach clients. */
    ReturnDelay returnDelay() {
        return returnDelay;
    }

    /** Returns whether {@code GET /up} reports this proxy as ready. */
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
