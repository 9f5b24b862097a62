package ridgemill.gateway.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalServerChannel;

/** What connections are made of: sockets, or for the warm-up, which may open none, queues inside the process. */
public enum Transport {
    TCP {
        @Override
        public ServerBootstrap server(EventLoop loop) {
            return new ServerBootstrap().group(loop).channel(SocketKind.of(loop).server())
                    .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, MARKS);
        }

        @Override
        public Bootstrap client(EventLoop loop) {
            return new Bootstrap().group(loop).channel(SocketKind.of(loop).client()).option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.WRITE_BUFFER_WATER_MARK, MARKS);
        }
    },
    /** At an address that another process of this proxy may listen at too. */
    SHARED_TCP {
        @Override
        public ServerBootstrap server(EventLoop loop) {
            return TCP.server(loop).option(SocketKind.of(loop).sharedPort(), true);
        }

        @Override
        public Bootstrap client(EventLoop loop) {
            return TCP.client(loop);
        }
    },
    IN_PROCESS {
        @Override
        public ServerBootstrap server(EventLoop loop) {
            return new ServerBootstrap().group(loop).channel(LocalServerChannel.class);
        }

        @Override
        public Bootstrap client(EventLoop loop) {
            return new Bootstrap().group(loop).channel(LocalChannel.class);
        }
    };

    private static final int BACKLOG = 1024;
    /** Bytes of an answer that wait in a connection until more of it is read, and again: many are written at a time. */
    private static final WriteBufferWaterMark MARKS = new WriteBufferWaterMark(16 * 1024, 48 * 1024);

    public abstract ServerBootstrap server(EventLoop loop);

    public abstract Bootstrap client(EventLoop loop);
}
