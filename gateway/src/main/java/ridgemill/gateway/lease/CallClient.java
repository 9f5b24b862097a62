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

    private static final int MAX_RESPONSE_BYTES = 1 << 16;
    private static final int CONFLICT_STATUS = 409;
    private static final int FIRST_FAILURE_STATUS = 300;

    /** What came of a call: {@code term} is the highest that the receiver says it has seen, 0 where it says none. */
    record CallResult(boolean succeeded, boolean refused, long term) {
        static final CallResult NO_RESPONSE = new CallResult(false, false, 0);
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
    void call(InetSocketAddress to, String path, double withinMs, Supplier<Permit> leave, Consumer<CallResult> ended) {
        Call call = new Call(to, path, withinMs, leave, ended);
        ChannelFuture opening = new Bootstrap().group(loop).channel(SocketKind.of(loop).client())
                .option(ChannelOption.TCP_NODELAY, true).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.ceil(withinMs))
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(MAX_RESPONSE_BYTES), call);
                    }
                }).connect(to);
        opening.addListener(f -> {
            if (f.isSuccess()) {
                call.write(opening.channel());
            } else {
                call.finish(CallResult.NO_RESPONSE);
            }
        });
    }

    private final class Call extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final InetSocketAddress target;
        private final String path;
        private final double timeoutMs;
        private final Supplier<Permit> permitSource;
        private final Consumer<CallResult> onEnd;
        private boolean finished;

        Call(InetSocketAddress to, String path, double withinMs, Supplier<Permit> leave, Consumer<CallResult> ended) {
            this.target = to;
            this.path = path;
            this.timeoutMs = withinMs;
            this.permitSource = leave;
            this.onEnd = ended;
        }

        void write(Channel channel) {
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, path, Unpooled.EMPTY_BUFFER);
            Permit permit = permitSource.get();
            if (permit == null) {
                channel.close();
                finish(CallResult.NO_RESPONSE);
                return;
            }
            request.headers().set("Host", Addresses.text(target)).set("Content-Length", 0).set("Connection", "close")
                    .set("Lease-Task", permit.task()).set("Lease-Holder", holder).set("Lease-Term", permit.term());
            channel.writeAndFlush(request);
            loop.schedule(() -> {
                if (!finished) {
                    reset(channel);
                    finish(CallResult.NO_RESPONSE);
                }
            }, (long) (timeoutMs * 1e6), TimeUnit.NANOSECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            int status = response.status().code();
            ctx.close();
            finish(new CallResult(status < FIRST_FAILURE_STATUS, status == CONFLICT_STATUS, parseTerm(response.headers().get("Lease-Term", "0"))));
        }

        /** A receiver that says nonsense says nothing. */
        private static long parseTerm(String term) {
            try {
                return Long.parseLong(term);
            } catch (NumberFormatException e) {
                return 0;
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            finish(CallResult.NO_RESPONSE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            reset(ctx.channel());
            finish(CallResult.NO_RESPONSE);
        }

        private void finish(CallResult answer) {
            if (!finished) {
                finished = true;
                onEnd.accept(answer);
            }
        }
    }

    private static void reset(Channel channel) {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }
}
