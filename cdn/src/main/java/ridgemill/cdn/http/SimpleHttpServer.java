package ridgemill.cdn.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import ridgemill.cdn.net.ServerBootstraps;
import ridgemill.gateway.net.SocketKind;

/** The HTTP/1.1 server at which a process answers calls from outside the data path; one request at a time a connection. */
public final class SimpleHttpServer {

    /** The longest body of a call, in bytes. */
    private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

    private static final int BACKLOG = 512;

    private final Channel listener;

    private SimpleHttpServer(Channel listener) {
        this.listener = listener;
    }

    /**
     * A call that waits for its answer.
     *
     * @param method the HTTP method
     * @param path the path without its query
     * @param body the whole body
     * @param responder takes the answer; called once, on the event loop
     */
    public record Request(String method, String path, byte[] body, Consumer<Response> responder) {}

    /**
     * An answer to a call.
     *
     * @param status the HTTP status
     * @param body the body; may be empty
     * @param contentType what the body is
     */
    public record Response(int status, byte[] body, String contentType) {

        private static final String JSON = "application/json";

        /** An answer whose body is JSON. */
        public Response(int status, byte[] body) {
            this(status, body, JSON);
        }

        /** An answer without a body. */
        public static Response empty(int status) {
            return new Response(status, new byte[0]);
        }
    }

    /**
     * Listens at an address and passes each call to the handler on the event loop.
     *
     * @throws io.netty.channel.ChannelException if the address can't be had
     */
    public static SimpleHttpServer listen(
            EventLoopGroup loop, SocketKind sockets, InetSocketAddress address, Consumer<Request> handler) {
        ServerBootstrap bootstrap = ServerBootstraps.create(
                loop,
                sockets,
                BACKLOG,
                channel -> channel.pipeline()
                        .addLast(
                                new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY_BYTES), new Handler(handler)));
        return new SimpleHttpServer(
                bootstrap.bind(address).syncUninterruptibly().channel());
    }

    /** The address that is listened at. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Stops accepting connections. */
    public void close() {
        listener.close();
    }

    private static final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {

        private final Consumer<Request> handler;

        Handler(Consumer<Request> handler) {
            this.handler = handler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            if (!request.decoderResult().isSuccess()) {
                answer(context, Response.empty(HttpResponseStatus.BAD_REQUEST.code()), false);
                return;
            }
            context.channel().config().setAutoRead(false);
            byte[] body = ByteBufUtil.getBytes(request.content());
            handler.accept(new Request(
                    request.method().name(), path(request.uri()), body, answer -> answer(context, answer, keepAlive)));
        }

        private static String path(String uri) {
            int query = uri.indexOf('?');
            return query < 0 ? uri : uri.substring(0, query);
        }

        private static void answer(ChannelHandlerContext context, Response answer, boolean keepAlive) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(answer.status()),
                    Unpooled.wrappedBuffer(answer.body()));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
            if (answer.body().length > 0) {
                response.headers().set(HttpHeaderNames.CONTENT_TYPE, answer.contentType());
            }
            if (keepAlive) {
                context.writeAndFlush(response);
                context.channel().config().setAutoRead(true);
                context.read();
            } else {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
                context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
