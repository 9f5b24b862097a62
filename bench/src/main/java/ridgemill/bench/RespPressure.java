package ridgemill.bench;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import ridgemill.gateway.net.resp.Resp;
import ridgemill.gateway.net.resp.RespDecoder;
import ridgemill.gateway.net.resp.RespLimits;
import ridgemill.gateway.net.resp.RespParser;

/** RESP clients that send so many commands in one go, and the next ones when all have their replies. */
final class RespPressure {

    private static final int KEYS = 500;

    private final EventLoop loop;
    private final int depth;
    private final List<Channel> channels = new ArrayList<>();
    private final CompletableFuture<Pressure.Result> done = new CompletableFuture<>();
    private long[] micros = new long[1 << 16];
    private int answered;
    private int failed;
    private long startNanos;
    private int number;
    private boolean over;

    private RespPressure(EventLoop loop, int depth) {
        this.loop = loop;
        this.depth = depth;
    }

    static Pressure.Result run(EventLoop loop, InetSocketAddress target, int connections, int depth, double seconds)
            throws Exception {
        RespPressure p = new RespPressure(loop, depth);
        loop.execute(() -> p.start(target, connections, seconds));
        return p.done.get((long) seconds + 60, TimeUnit.SECONDS);
    }

    private void start(InetSocketAddress target, int connections, double seconds) {
        startNanos = System.nanoTime();
        for (int i = 0; i < connections; i++) {
            new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channels.add(channel);
                            channel.pipeline()
                                    .addLast(new RespDecoder(RespParser.values(RespLimits.REPLY)), new Conn());
                        }
                    })
                    .connect(target);
        }
        loop.schedule(this::end, (long) (seconds * 1e9), TimeUnit.NANOSECONDS);
    }

    private void end() {
        over = true;
        Pressure.Result result = Pressure.Result.of(micros, answered, failed, startNanos);
        channels.forEach(Channel::close);
        done.complete(result);
    }

    private final class Conn extends ChannelInboundHandlerAdapter {
        private int left;
        private long askedAt;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ask(ctx);
        }

        private void ask(ChannelHandlerContext ctx) {
            StringBuilder text = new StringBuilder();
            for (int i = 0; i < depth; i++) {
                String key = "m" + (100_000 + number++ % KEYS);
                text.append("*2\r\n$3\r\nGET\r\n$")
                        .append(key.length())
                        .append("\r\n")
                        .append(key)
                        .append("\r\n");
            }
            left = depth;
            askedAt = System.nanoTime();
            ByteBuf bytes = Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
            ctx.writeAndFlush(bytes);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            Resp reply = (Resp) message;
            if (!over) {
                if (answered == micros.length) {
                    micros = Arrays.copyOf(micros, 2 * micros.length);
                }
                micros[answered++] = (System.nanoTime() - askedAt) / 1000;
                failed += reply instanceof Resp.Blob ? 0 : 1;
            }
            reply.release();
            if (--left == 0 && !over) {
                ask(ctx);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
