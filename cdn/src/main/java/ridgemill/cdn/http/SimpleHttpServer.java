package ridgemill.cdn.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
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
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import ridgemill.cdn.net.ServerBootstraps;
import ridgemill.gateway.net.SocketKind;

/** An HTTP/1.1 server for requests outside the data path. Processes one request at a time on each connection. */
public final class SimpleHttpServer {

    /** The maximum length of a request body. */
    private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

    private static final int BACKLOG = 512;

    private final SocketKind sockets;
    private final Connections connections;
    private final Channel listener;

    private SimpleHttpServer(SocketKind sockets, Connections connections, Channel listener) {
        this.sockets = sockets;
        this.connections = connections;
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
        Connections connections = new Connections();
        ServerBootstrap bootstrap = ServerBootstraps.create(loop, sockets, BACKLOG, channel -> {
            Handler connection = new Handler(handler, connections);
            channel.pipeline()
                    .addLast(
                            new ArrivalTracker(connection),
                            new HttpServerCodec(),
                            new CallAdmission(memory, MAX_BODY_BYTES),
                            new HttpObjectAggregator(MAX_BODY_BYTES),
                            connection);
        });
        return new SimpleHttpServer(
                sockets,
                connections,
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

    /**
     * Stops accepting connections and closes those without a request. Requests in progress are answered; later ones get
     * 503 and do not reach the handler. Called on the event loop.
     */
    public void drain() {
        sockets.takeWaiting(listener);
        listener.close();
        connections.draining = true;
        List.copyOf(connections.open).forEach(Handler::closeIfIdle);
    }

    /** Whether no request is in progress or has arrived in part. Called on the event loop. */
    public boolean isIdle() {
        return connections.open.stream().allMatch(Handler::isIdle);
    }

    /** The connections of a server. Used on the event loop. */
    private static final class Connections {

        private final Set<Handler> open = new HashSet<>();
        private boolean draining;
    }

    /** Tells the connection that bytes have arrived, before they are decoded. */
    private static final class ArrivalTracker extends ChannelInboundHandlerAdapter {

        private final Handler connection;

        ArrivalTracker(Handler connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            connection.receiving = true;
            context.fireChannelRead(message);
        }
    }

    private static final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {

        private final Consumer<Request> handler;
        private final Connections connections;
        private ChannelHandlerContext context;
        private boolean receiving;
        private int unanswered;

        Handler(Consumer<Request> handler, Connections connections) {
            this.handler = handler;
            this.connections = connections;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext added) {
            context = added;
            connections.open.add(this);
        }

        @Override
        public void channelInactive(ChannelHandlerContext inactive) {
            connections.open.remove(this);
        }

        boolean isIdle() {
            return !receiving && unanswered == 0;
        }

        void closeIfIdle() {
            if (isIdle()) {
                context.close();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            receiving = false;
            unanswered++;
            if (connections.draining) {
                respond(context, Response.empty(HttpResponseStatus.SERVICE_UNAVAILABLE.code()), false);
                return;
            }
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

        private void respond(ChannelHandlerContext context, Response response, boolean keepAlive) {
            FullHttpResponse httpResponse = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(response.status()),
                    Unpooled.wrappedBuffer(response.body()));
            httpResponse.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
            if (response.body().length > 0) {
                httpResponse.headers().set(HttpHeaderNames.CONTENT_TYPE, response.contentType());
            }
            if (keepAlive && !connections.draining) {
                context.writeAndFlush(httpResponse).addListener(done -> unanswered--);
                context.channel().config().setAutoRead(true);
                context.read();
            } else {
                httpResponse.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
                context.writeAndFlush(httpResponse)
                        .addListener(done -> unanswered--)
                        .addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
