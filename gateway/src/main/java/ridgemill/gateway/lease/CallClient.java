package ridgemill.gateway.lease;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import ridgemill.gateway.net.Addresses;
import ridgemill.gateway.net.SocketKind;
import ridgemill.lease.LeaseManager.Permit;

/**
 * Calls others under a lease, one connection a call: {@code POST} with the task, the holder and the term in its head. Leave is
 * asked for when the connection is there and not before, as opening one takes a time that nobody knows, and the call is written
 * in one piece at once. A call that has taken too long is reset: nothing more of it is sent.
 */
final class CallClient {

    private static final int MOST_ANSWER = 1 << 16;
    private static final int CONFLICT = 409;
    private static final int FIRST_FAILURE = 300;

    /** What came of a call: {@code term} is the highest that the receiver says it has seen, 0 where it says none. */
    record Answer(boolean done, boolean refused, long term) {
        static final Answer NONE = new Answer(false, false, 0);
    }

    private final EventLoop loop;
    private final String holder;

    CallClient(EventLoop loop, String holder) {
        this.loop = loop;
        this.holder = holder;
    }

    /**
     * Makes a call; all on the loop.
     *
     * @param leave gives leave to write now, or null; asked once, if the connection comes up
     * @param ended is told once, when nothing of the call is on its way any more
     */
    void call(InetSocketAddress to, String path, double withinMs, Supplier<Permit> leave, Consumer<Answer> ended) {
        Call call = new Call(to, path, withinMs, leave, ended);
        ChannelFuture opening = new Bootstrap().group(loop).channel(SocketKind.of(loop).client())
                .option(ChannelOption.TCP_NODELAY, true).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.ceil(withinMs))
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(MOST_ANSWER), call);
                    }
                }).connect(to);
        opening.addListener(f -> {
            if (f.isSuccess()) {
                call.write(opening.channel());
            } else {
                call.end(Answer.NONE);
            }
        });
    }

    private final class Call extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final InetSocketAddress to;
        private final String path;
        private final double withinMs;
        private final Supplier<Permit> leave;
        private final Consumer<Answer> ended;
        private boolean over;

        Call(InetSocketAddress to, String path, double withinMs, Supplier<Permit> leave, Consumer<Answer> ended) {
            this.to = to;
            this.path = path;
            this.withinMs = withinMs;
            this.leave = leave;
            this.ended = ended;
        }

        void write(Channel channel) {
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, path, Unpooled.EMPTY_BUFFER);
            Permit permit = leave.get();
            if (permit == null) {
                channel.close();
                end(Answer.NONE);
                return;
            }
            request.headers().set("Host", Addresses.text(to)).set("Content-Length", 0).set("Connection", "close")
                    .set("Lease-Task", permit.task()).set("Lease-Holder", holder).set("Lease-Term", permit.term());
            channel.writeAndFlush(request);
            loop.schedule(() -> {
                if (!over) {
                    reset(channel);
                    end(Answer.NONE);
                }
            }, (long) (withinMs * 1e6), TimeUnit.NANOSECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            int status = response.status().code();
            ctx.close();
            end(new Answer(status < FIRST_FAILURE, status == CONFLICT, seen(response.headers().get("Lease-Term", "0"))));
        }

        /** A receiver that says nonsense says nothing. */
        private static long seen(String term) {
            try {
                return Long.parseLong(term);
            } catch (NumberFormatException e) {
                return 0;
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            end(Answer.NONE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            reset(ctx.channel());
            end(Answer.NONE);
        }

        private void end(Answer answer) {
            if (!over) {
                over = true;
                ended.accept(answer);
            }
        }
    }

    private static void reset(Channel channel) {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }
}
