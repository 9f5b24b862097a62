package ridgemill.bench;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import ridgemill.gateway.net.Addresses;
import ridgemill.gateway.net.SocketKind;

/**
 * The floor for a proxy on this runtime: bytes in, bytes out, to one node for each client's connection, nothing parsed and
 * nothing decided. It runs in a process of its own, under the Java machine's options that ridgemill is measured with.
 */
public final class Relay {

    private final List<InetSocketAddress> nodes;
    private final AtomicInteger next = new AtomicInteger();

    private Relay(List<InetSocketAddress> nodes) {
        this.nodes = nodes;
    }

    /** {@code LOOPS LISTEN NODE...}: serves until it is ended. */
    public static void main(String[] args) throws InterruptedException {
        List<InetSocketAddress> nodes = new ArrayList<>();
        for (int i = 2; i < args.length; i++) {
            nodes.add(Addresses.parse(args[i]));
        }
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(
                Integer.parseInt(args[0]), SocketKind.chosen().handlers());
        new Relay(nodes).listen(group, Addresses.parse(args[1])).closeFuture().sync();
    }

    /** Starts one in a process of its own, pinned to cores. */
    static Subject start(
            List<InetSocketAddress> nodes, String cores, int loops, List<String> javaOptions, Path directory)
            throws Exception {
        InetSocketAddress address = Subject.freeAddress();
        List<String> command = new ArrayList<>(List.of("java"));
        command.addAll(javaOptions);
        command.addAll(List.of(
                "-Djava.library.path=gateway/target/native",
                "-cp",
                "bench/target/ridgemill-bench.jar",
                Relay.class.getName(),
                String.valueOf(loops),
                Addresses.text(address)));
        nodes.forEach(n -> command.add(Addresses.text(n)));
        return Subject.start("relay", address, cores, directory, Path.of(""), command, List.of());
    }

    private Channel listen(MultiThreadIoEventLoopGroup group, InetSocketAddress address) throws InterruptedException {
        return new ServerBootstrap()
                .group(group)
                .channel(SocketKind.of(group.next()).server())
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel client) {
                        join(client);
                    }
                })
                .bind(address)
                .sync()
                .channel();
    }

    /** Opens the connection to a node on the client's own loop, and reads from the client once it is there. */
    private void join(Channel client) {
        InetSocketAddress node = nodes.get(Math.floorMod(next.getAndIncrement(), nodes.size()));
        new Bootstrap()
                .group(client.eventLoop())
                .channel(SocketKind.of(client.eventLoop()).client())
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new Half(client))
                .connect(node)
                .addListener((ChannelFutureListener) f -> {
                    if (f.isSuccess()) {
                        client.pipeline().addLast(new Half(f.channel()));
                        client.config().setAutoRead(true);
                    } else {
                        client.close();
                    }
                });
    }

    /** One direction: what this end brings goes to the other; what the other can't take yet is not read. */
    private static final class Half extends ChannelInboundHandlerAdapter {
        private final Channel other;

        Half(Channel other) {
            this.other = other;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (other.isActive()) {
                other.write(message, other.voidPromise());
            } else {
                ReferenceCountUtil.release(message);
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            other.flush();
            ctx.channel().config().setAutoRead(other.isWritable());
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            other.config().setAutoRead(ctx.channel().isWritable());
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (other.isActive()) {
                other.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
