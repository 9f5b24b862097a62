package ridgemill.cdn.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import java.util.function.Consumer;
import ridgemill.gateway.net.SocketKind;

/** Creates the server bootstraps of all programs. */
public final class ServerBootstraps {

    private ServerBootstraps() {}

    /**
     * Creates a bootstrap that is not yet bound to an address.
     *
     * @param backlog how many connections may wait to be accepted
     * @param accepted receives each accepted connection, to add its handlers
     */
    public static ServerBootstrap create(
            EventLoopGroup loop, SocketKind sockets, int backlog, Consumer<Channel> accepted) {
        return new ServerBootstrap()
                .group(loop)
                .channel(sockets.server())
                .option(ChannelOption.SO_BACKLOG, backlog)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accepted.accept(channel);
                    }
                });
    }
}
