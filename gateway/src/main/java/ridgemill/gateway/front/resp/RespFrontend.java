package ridgemill.gateway.front.resp;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import java.util.Map;
import ridgemill.core.Intake;
import ridgemill.deadline.ReturnDelay;
import ridgemill.gateway.front.ClientTable;
import ridgemill.gateway.front.Listeners;
import ridgemill.gateway.net.Content;
import ridgemill.gateway.net.Transport;
import ridgemill.gateway.net.resp.RespDecoder;
import ridgemill.gateway.net.resp.RespLimits;
import ridgemill.gateway.net.resp.RespParser;

/** Receives clients' commands over RESP2 and RESP3 and sends the replies in order. */
public final class RespFrontend {

    private final Intake<Content> intake;
    private final ClientTable table;
    private final Listeners listeners;
    private final ReturnDelay returnDelay;
    private Map<String, String> passwords = Map.of();
    private boolean allowsHalfClose;
    private boolean sendsReasons;
    private long connectionCount;

    /** Creates a frontend whose connections are added to a table that other frontends may share. */
    public RespFrontend(EventLoop loop, Intake<Content> intake, ClientTable table) {
        this.intake = intake;
        this.table = table;
        this.returnDelay = intake.deadlines().returnDelay("resp");
        this.listeners = new Listeners(loop, table, new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                RespDecoder decoder = new RespDecoder(RespParser.commands(RespLimits.COMMAND));
                RespClientConnection connection = new RespClientConnection(channel, RespFrontend.this, decoder,
                        ++connectionCount);
                channel.pipeline().addLast(decoder, connection);
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

    /** Returns the listeners that accept its connections. */
    public Listeners listeners() {
        return listeners;
    }

    /** Stops accepting connections on all addresses. */
    public void stopListening() {
        listeners.close();
    }

    /** Sets the passwords by tenant. If the map is empty, every client is accepted and chooses its tenant itself. */
    public void passwords(Map<String, String> byTenant) {
        passwords = Map.copyOf(byTenant);
    }

    Map<String, String> passwords() {
        return passwords;
    }

    /**
     * Sets whether a client on a new connection that closes its sending side still gets its replies. Otherwise it
     * counts as disconnected.
     */
    public void allowsHalfClose(boolean allowed) {
        allowsHalfClose = allowed;
    }

    /** Sets whether errors of refusals and failures carry their reason code. */
    public void sendsReasons(boolean sends) {
        sendsReasons = sends;
    }

    boolean sendsReasons() {
        return sendsReasons;
    }

    boolean allowsHalfClose() {
        return allowsHalfClose;
    }

    /** Returns the measured time that replies take to reach clients. */
    ReturnDelay returnDelay() {
        return returnDelay;
    }

    Intake<Content> intake() {
        return intake;
    }

    ClientTable table() {
        return table;
    }
}
