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
 * Makes HTTP calls under a lease, with one connection per call: a {@code POST} with the task, the holder and the term
 * in its headers. The permit is requested only when the connection is open, because opening takes an unknown time; the
 * request is then written at once as a whole. A call that exceeds its timeout is reset, so that no more of it is sent.
 */
final class CallClient {

    private static final int MAX_RESPONSE_BYTES = 1 << 16;
    private static final int CONFLICT = 409;
    private static final int FIRST_FAILURE_STATUS = 300;

    /** The result of a call; {@code term} is the highest term that the receiver reports, or 0 if it reports none. */
    record CallResult(boolean succeeded, boolean refused, long term) {
        static final CallResult NONE = new CallResult(false, false, 0);
    }

    private final EventLoop loop;
    private final String holder;

    CallClient(EventLoop loop, String holder) {
        this.loop = loop;
        this.holder = holder;
    }

    /**
     * Makes a call; must be called on the event loop, as are the callbacks.
     *
     * @param permitSource returns the permit to send the request now, or null; called once, if the connection opens
     * @param onEnd called once, when no part of the call is in flight any more
     */
    void call(InetSocketAddress target, String path, double timeoutMs, Supplier<Permit> permitSource,
              Consumer<CallResult> onEnd) {
        Call call = new Call(target, path, timeoutMs, permitSource, onEnd);
        ChannelFuture opening = new Bootstrap().group(loop).channel(SocketKind.of(loop).client())
                .option(ChannelOption.TCP_NODELAY, true).option(ChannelOption.CONNECT_TIMEOUT_MILLIS,
                (int) Math.ceil(timeoutMs))
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                                call);
                    }
                }).connect(target);
        opening.addListener(f -> {
            if (f.isSuccess()) {
                call.write(opening.channel());
            } else {
                call.finish(CallResult.NONE);
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

        Call(InetSocketAddress target, String path, double timeoutMs, Supplier<Permit> permitSource,
             Consumer<CallResult> onEnd) {
            this.target = target;
            this.path = path;
            this.timeoutMs = timeoutMs;
            this.permitSource = permitSource;
            this.onEnd = onEnd;
        }

        void write(Channel channel) {
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, path,
                    Unpooled.EMPTY_BUFFER);
            Permit permit = permitSource.get();
            if (permit == null) {
                channel.close();
                finish(CallResult.NONE);
                return;
            }
            request.headers().set("Host", Addresses.text(target)).set("Content-Length", 0).set("Connection", "close")
                    .set("Lease-Task", permit.task()).set("Lease-Holder", holder).set("Lease-Term", permit.term());
            channel.writeAndFlush(request);
            loop.schedule(() -> {
                if (!finished) {
                    reset(channel);
                    finish(CallResult.NONE);
                }
            }, (long) (timeoutMs * 1e6), TimeUnit.NANOSECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            int status = response.status().code();
            ctx.close();
            finish(new CallResult(status < FIRST_FAILURE_STATUS, status == CONFLICT,
                    parseTerm(response.headers().get("Lease-Term", "0"))));
        }

        /** Parses a term header; an invalid one counts as none. */
        private static long parseTerm(String term) {
            try {
                return Long.parseLong(term);
            } catch (NumberFormatException e) {
                return 0;
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            finish(CallResult.NONE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            reset(ctx.channel());
            finish(CallResult.NONE);
        }

        private void finish(CallResult result) {
            if (!finished) {
                finished = true;
                onEnd.accept(result);
            }
        }
    }

    private static void reset(Channel channel) {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }
}
