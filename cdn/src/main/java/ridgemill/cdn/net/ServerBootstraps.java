package ridgemill.cdn.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import java.util.function.Consumer;
import ridgemill.gateway.net.SocketKind;

/** How all programs listen. */
public final class ServerBootstraps {

    private ServerBootstraps() {}

    /**
     * A bootstrap that is still to be bound to an address.
     *
     * @param backlog how many connections may wait to be accepted
     * @param accepted given each accepted connection, to put its handlers in place
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
