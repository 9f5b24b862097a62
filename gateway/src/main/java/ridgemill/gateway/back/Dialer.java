package ridgemill.gateway.back;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import java.util.function.Consumer;
import ridgemill.gateway.net.Transport;

/** Opens connections to nodes. Each counts against the shared connection limit of all groups until it has closed. */
public final class Dialer {

    private final Bootstrap bootstrap;
    private final ConnectionLimit connectionLimit;

    /**
     * Creates a dialer.
     *
     * @param loop the event loop that runs the connections
     * @param connectTimeoutMs how long connecting may take, in milliseconds; at least 1 ms is used
     * @param connectionLimit counts each connection from the start of connecting until it has closed
     */
    public Dialer(EventLoop loop, Transport transport, double connectTimeoutMs, ConnectionLimit connectionLimit) {
        this.bootstrap = transport.client(loop)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, Math.max(1, (int) connectTimeoutMs));
        this.connectionLimit = connectionLimit;
    }

    /**
     * Connects to a node. {@code install} adds the protocol handlers to the pipeline. The channel of the returned
     * future is available immediately.
     */
    public ChannelFuture connect(NodeTargets.Target target, Consumer<ChannelPipeline> install) {
        connectionLimit.connectionOpening();
        ChannelFuture connecting = bootstrap.clone().handler(new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                install.accept(channel.pipeline());
            }
        }).connect(target.address());
        connecting.channel().closeFuture().addListener(f -> connectionLimit.connectionClosed());
        return connecting;
    }
}
