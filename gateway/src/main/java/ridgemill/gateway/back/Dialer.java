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

/** Opens connections to nodes, each of which takes a descriptor of those that all groups share until it has closed. */
public final class Dialer {

    private final Bootstrap bootstrap;
    private final ConnectionLimit connectionLimit;

    /** {@code connectTimeoutMs} is how long a connection may take to come up. */
    public Dialer(EventLoop loop, Transport transport, double connectTimeoutMs, ConnectionLimit sockets) {
        this.bootstrap = transport.client(loop)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, Math.max(1, (int) connectTimeoutMs));
        this.connectionLimit = sockets;
    }

    /** Opens one to a node; {@code install} adds what speaks on it. Its channel is there at once. */
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
