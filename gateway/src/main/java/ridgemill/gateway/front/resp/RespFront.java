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
public final class RespFront {

    private final Intake<Content> intake;
    private final ClientTable table;
    private final Listeners listeners;
    private final ReturnDelay wayBack;
    private Map<String, String> passwords = Map.of();
    private boolean halfCloseStays;
    private boolean tellsWhy;
    private long connections;

    /** A front whose connections go into a table that it may share with others. */
    public RespFront(EventLoop loop, Intake<Content> intake, ClientTable table) {
        this.intake = intake;
        this.table = table;
        this.wayBack = intake.deadlines().returnDelay("resp");
        this.listeners = new Listeners(loop, table, new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                RespDecoder decoder = new RespDecoder(RespParser.commands(RespLimits.COMMAND));
                RespClientConnection connection = new RespClientConnection(channel, RespFront.this, decoder, ++connections);
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
    public void unlisten(SocketAddress address) {
        listeners.unlisten(address);
    }

    /** Where its connections come in. */
    public Listeners listeners() {
        return listeners;
    }

    /** No new connections. */
    public void stop() {
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
    public void halfCloseStays(boolean stays) {
        halfCloseStays = stays;
    }

    /** Whether refusals and failures say why, by the reason's stable name. */
    public void tellsWhy(boolean tells) {
        tellsWhy = tells;
    }

    boolean tellsWhy() {
        return tellsWhy;
    }

    boolean halfCloseStays() {
        return halfCloseStays;
    }

    /** The way of replies to clients. */
    ReturnDelay wayBack() {
        return wayBack;
    }

    Intake<Content> intake() {
        return intake;
    }

    ClientTable table() {
        return table;
    }
}
