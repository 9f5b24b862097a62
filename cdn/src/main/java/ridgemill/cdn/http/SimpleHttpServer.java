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

/** An HTTP/1.1 server for requests outside the data path. Processes one request at a time on each connection. */
public final class SimpleHttpServer {

    /** The maximum length of a request body. */
    private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

    private static final int BACKLOG = 512;

    private final Channel listener;

    private SimpleHttpServer(Channel listener) {
        this.listener = listener;
    }

    /**
     * A request that waits for its response.
     *
     * @param method the HTTP method
     * @param path the path without its query
     * @param body the complete body
     * @param responder sends the response; called exactly once, on the event loop
     */
    public record Request(String method, String path, byte[] body, Consumer<Response> responder) {}

    /**
     * A response to a request.
     *
     * @param status the HTTP status
     * @param body the body; may be empty
     * @param contentType the media type of the body
     */
    public record Response(int status, byte[] body, String contentType) {

        private static final String JSON = "application/json";

        /** Creates a response with a JSON body. */
        public Response(int status, byte[] body) {
            this(status, body, JSON);
        }

        /** Creates a response without a body. */
        public static Response empty(int status) {
            return new Response(status, new byte[0]);
        }
    }

    /**
     * Listens at an address and passes each request to the handler on the event loop.
     *
     * @throws io.netty.channel.ChannelException if the address cannot be bound
     */
    public static SimpleHttpServer listen(
            EventLoopGroup loop, SocketKind sockets, InetSocketAddress address, Consumer<Request> handler) {
        CallMemory memory = new CallMemory(Runtime.getRuntime().maxMemory());
        ServerBootstrap bootstrap = ServerBootstraps.create(
                loop,
                sockets,
                BACKLOG,
                channel -> channel.pipeline()
                        .addLast(
                                new HttpServerCodec(),
                                new CallAdmission(memory, MAX_BODY_BYTES),
                                new HttpObjectAggregator(MAX_BODY_BYTES),
                                new Handler(handler)));
        return new SimpleHttpServer(
                bootstrap.bind(address).syncUninterruptibly().channel());
    }

    /** Returns the address of the listening socket. */
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
                respond(context, Response.empty(HttpResponseStatus.BAD_REQUEST.code()), false);
                return;
            }
            context.channel().config().setAutoRead(false);
            byte[] body = ByteBufUtil.getBytes(request.content());
            handler.accept(new Request(
                    request.method().name(),
                    path(request.uri()),
                    body,
                    response -> respond(context, response, keepAlive)));
        }

        private static String path(String uri) {
            int query = uri.indexOf('?');
            return query < 0 ? uri : uri.substring(0, query);
        }

        private static void respond(ChannelHandlerContext context, Response response, boolean keepAlive) {
            FullHttpResponse httpResponse = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(response.status()),
                    Unpooled.wrappedBuffer(response.body()));
            httpResponse.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
            if (response.body().length > 0) {
                httpResponse.headers().set(HttpHeaderNames.CONTENT_TYPE, response.contentType());
            }
            if (keepAlive) {
                context.writeAndFlush(httpResponse);
                context.channel().config().setAutoRead(true);
                context.read();
            } else {
                httpResponse.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
                context.writeAndFlush(httpResponse).addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
