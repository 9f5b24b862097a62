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

/** Takes clients' commands in over RESP2 and RESP3 and their replies out, in order. */
public final class RespFrontend {

    private final Intake<Content> intake;
    private final ClientTable table;
    private final Listeners listeners;
    private final ReturnDelay returnDelay;
    private Map<String, String> passwords = Map.of();
    private boolean allowsHalfClose;
    private boolean sendsReasons;
    private long connectionCount;

    /** A front whose connections go into a table that it may share with others. */
    public RespFrontend(EventLoop loop, Intake<Content> intake, ClientTable table) {
        this.intake = intake;
        this.table = table;
        this.returnDelay = intake.deadlines().returnDelay("resp");
        this.listeners = new Listeners(loop, table, new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                RespDecoder decoder = new RespDecoder(RespParser.commands(RespLimits.COMMAND));
                RespClientConnection connection = new RespClientConnection(channel, RespFrontend.this, decoder, ++connectionCount);
                channel.pipeline().addLast(decoder, connection);
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

    /** Where its connections come in. */
    public Listeners listeners() {
        return listeners;
    }

    /** No new connections. */
    public void stopListening() {
        listeners.close();
    }

    /** The password of each tenant that may ask, by name; empty where any may, who names itself. */
    public void passwords(Map<String, String> byTenant) {
        passwords = Map.copyOf(byTenant);
    }

    Map<String, String> passwords() {
        return passwords;
    }

    /** Whether a client that ends its sending may still read its replies, on connections that come; else it has left. */
    public void allowsHalfClose(boolean stays) {
        allowsHalfClose = stays;
    }

    /** Whether refusals and failures say why, by the reason's stable name. */
    public void sendsReasons(boolean tells) {
        sendsReasons = tells;
    }

    boolean sendsReasons() {
        return sendsReasons;
    }

    boolean allowsHalfClose() {
        return allowsHalfClose;
    }

    /** The way of replies to clients. */
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
