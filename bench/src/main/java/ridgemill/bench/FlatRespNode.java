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
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import ridgemill.gateway.net.resp.Resp;
import ridgemill.gateway.net.resp.RespDecoder;
import ridgemill.gateway.net.resp.RespLimits;
import ridgemill.gateway.net.resp.RespParser;

/** A RESP node that answers every command at once with the same value, and shakes hands. */
final class FlatRespNode {

    private final Channel listener;

    FlatRespNode(EventLoop loop, int valueBytes) {
        byte[] value =
                ("$" + valueBytes + "\r\n" + "v".repeat(valueBytes) + "\r\n").getBytes(StandardCharsets.US_ASCII);
        byte[] hello = "%1\r\n$5\r\nproto\r\n:3\r\n".getBytes(StandardCharsets.US_ASCII);
        listener = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new RespDecoder(RespParser.commands(RespLimits.COMMAND)),
                                        new Answers(value, hello));
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
        private final byte[] value;
        private final byte[] hello;

        Answers(byte[] value, byte[] hello) {
            this.value = value;
            this.hello = hello;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            Resp.Array command = (Resp.Array) message;
            ByteBuf name = ((Resp.Blob) command.items().get(0)).bytes();
            ctx.write(Unpooled.wrappedBuffer(name.getByte(0) == 'H' ? hello : value));
            command.release();
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            ctx.flush();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
