package ridgemill.bench;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import ridgemill.gateway.net.SocketKind;

/**
 * A node that answers every request at once with the same value: what is left of a request's time is the proxy's. It
 * looks for the end of a head and reads no more, as all that it is sent are reads.
 */
final class FlatNode {

    private static final byte[] END = "\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final int VALUE_BYTES = 200;

    private final Channel listener;

    FlatNode(EventLoop loop) {
        this(loop, 0);
    }

    /** A node whose value has so many bytes. */
    static FlatNode of(EventLoop loop, int valueBytes) {
        return new FlatNode(loop, 0, valueBytes);
    }

    /** A node that takes so long over each request, however many it has at a time. */
    FlatNode(EventLoop loop, long delayMs) {
        this(loop, delayMs, VALUE_BYTES);
    }

    private FlatNode(EventLoop loop, long delayMs, int valueBytes) {
        byte[] answer = ("HTTP/1.1 200 OK\r\nContent-Length: " + valueBytes + "\r\nX-Hit: hit\r\n\r\n"
                        + "v".repeat(valueBytes))
                .getBytes(StandardCharsets.US_ASCII);
        listener = new ServerBootstrap()
                .group(loop)
                .channel(SocketKind.of(loop).server())
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new Answers(answer, delayMs));
                    }
                })
                .bind(new InetSocketAddress("127.0.0.1", 0))
                .syncUninterruptibly()
                .channel();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    private static final class Answers extends ChannelInboundHandlerAdapter {
        private final byte[] answer;
        private final long delayMs;
        private int matched;

        Answers(byte[] answer, long delayMs) {
            this.answer = answer;
            this.delayMs = delayMs;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ByteBuf in = (ByteBuf) message;
            for (int i = in.readerIndex(); i < in.writerIndex(); i++) {
                byte b = in.getByte(i);
                matched = b == END[matched] ? matched + 1 : b == END[0] ? 1 : 0;
                if (matched == END.length) {
                    matched = 0;
                    if (delayMs == 0) {
                        ctx.writeAndFlush(Unpooled.wrappedBuffer(answer));
                    } else {
                        ctx.executor()
                                .schedule(
                                        () -> ctx.writeAndFlush(Unpooled.wrappedBuffer(answer)),
                                        delayMs,
                                        TimeUnit.MILLISECONDS);
                    }
                }
            }
            in.release();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
