package hopglade.proxy;

import hopglade.Router.Effect;
import hopglade.Router.Request;
import hopglade.Router.ServiceClass;
import hopglade.Router.Settings;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.regex.Pattern;

/** Takes clients' requests in and their answers out. What no node could make sense of is answered here. */
final class ClientServer {

    static final int MAX_BODY = 64 * 1024;
    private static final int BACKLOG = 1024;
    private static final String API = "/api/";
    private static final Pattern ID = Pattern.compile("[0-9A-Za-z_-]{1,64}");
    /** A budget past this is a mistake, and as a timer would outlive the process. */
    private static final double MAX_BUDGET_S = 3600;
    private static final int MAX_WAITING = 16;
    private static final long KEY_BITS = (1L << 53) - 1;

    private final EventLoop loop;
    private final Proxy proxy;
    private final int maxConnections;
    private final Map<String, ServiceClass> classes = new HashMap<>();
    private final Set<Connection> connections = new LinkedHashSet<>();
    private Channel listener;
    private boolean ready;
    private boolean full;
    private boolean draining;

    ClientServer(EventLoop loop, Proxy proxy, Settings settings, int maxConnections) {
        this.loop = loop;
        this.proxy = proxy;
        this.maxConnections = maxConnections;
        settings.classes().forEach(c -> classes.put(c.name(), c));
    }

    ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        Connection connection = new Connection(channel);
                        channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY),
                                connection);
                        makeRoom();
                        connections.add(connection);
                    }
                }).bind(address);
        listener = bound.channel();
        return bound;
    }

    void ready() {
        ready = true;
    }

    int connections() {
        return connections.size();
    }

    /** From now on each answer is its connection's last. */
    void drain() {
        draining = true;
    }

    /** No new connections, and none is kept that has no request. */
    void stop() {
        listener.close();
        List.copyOf(connections).forEach(Connection::closeIfIdle);
    }

    /**
     * Keeps below the descriptors that are ours: the connection that has waited longest goes, and if every one is
     * busy the next clients wait in the listener's backlog until one has its answer. Accepting past the limit would
     * fail for all.
     */
    private void makeRoom() {
        if (connections.size() + 1 >= maxConnections) {
            connections.stream().filter(Connection::idle).findFirst().ifPresent(Connection::closeIfIdle);
            full = true;
            listener.config().setAutoRead(false);
        }
    }

    private void closed(Connection connection) {
        connections.remove(connection);
        if (full && connections.size() < maxConnections) {
            full = false;
            listener.config().setAutoRead(true);
        }
    }

    /** Hashes the key's text as all proxies do, so that a key goes to the same nodes whichever proxy has it. */
    static long key(String path) {
        long hash = 0xcbf29ce484222325L;
        for (int i = path.lastIndexOf('/') + 1; i < path.length(); i++) {
            hash = (hash ^ path.charAt(i)) * 0x100000001b3L;
        }
        return (hash ^ hash >>> 32) & KEY_BITS;
    }

    /** One client's connection: its requests are answered one at a time, in their order. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> implements Proxy.Client {
        private final Channel channel;
        private final Queue<FullHttpRequest> waiting = new ArrayDeque<>();
        private String open;
        private boolean keepAlive;

        Connection(Channel channel) {
            this.channel = channel;
        }

        boolean idle() {
            return open == null;
        }

        void closeIfIdle() {
            if (idle()) {
                channel.close();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (idle()) {
                handle(request);
            } else if (waiting.size() < MAX_WAITING) {
                waiting.add(request.retain());
            } else {
                ctx.close();
            }
        }

        private void handle(FullHttpRequest request) {
            keepAlive = HttpUtil.isKeepAlive(request);
            if (request.decoderResult().isFailure()) {
                keepAlive = false;
                answer(HttpResponseStatus.BAD_REQUEST);
                return;
            }
            String path = path(request.uri());
            HttpMethod method = request.method();
            boolean api = path.startsWith(API) && path.length() > API.length();
            if (!api && !path.equals("/up")) {
                answer(HttpResponseStatus.NOT_FOUND);
            } else if (!method.equals(HttpMethod.GET) && !(api && method.equals(HttpMethod.PUT))) {
                answer(HttpResponseStatus.METHOD_NOT_ALLOWED);
            } else if (!api) {
                answer(ready && !draining ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE);
            } else {
                call(request, path);
            }
        }

        private void call(FullHttpRequest in, String path) {
            HttpHeaders headers = in.headers();
            String id = headers.get("X-Call-Id", "");
            String service = headers.get("X-Call-Class", "");
            double budgetS = number(headers.get("X-Budget"), -1);
            boolean write = in.method().equals(HttpMethod.PUT);
            ServiceClass known = classes.get(service);
            boolean unkeyed = write && known != null && known.effect() == Effect.KEYED
                    && headers.get("Idempotency-Key", "").isEmpty();
            // Without its key a keyed write's repeat would not be dropped, and it may be sent again.
            if (!ID.matcher(id).matches() || service.isEmpty() || unkeyed || proxy.isOpen(id)
                    || !(budgetS >= 0 && budgetS <= MAX_BUDGET_S)) {
                answer(HttpResponseStatus.BAD_REQUEST);
                return;
            }
            Request request = new Request(id, service, headers.get("X-Caller"), key(path),
                    Math.max(0, number(headers.get("X-Call-Cost"), 0)) / 1000, budgetS * 1000, write,
                    "1".equals(headers.get("X-Again")));
            open = id;
            proxy.request(request, new Proxy.Payload(in.method(), in.uri(), ByteBufUtil.getBytes(in.content()),
                    headers.get("Idempotency-Key"), headers.get(HttpHeaderNames.CONTENT_TYPE)), this);
        }

        @Override
        public void served(FullHttpResponse response) {
            FullHttpResponse answer = response(HttpResponseStatus.OK, response.content().retain());
            String type = response.headers().get(HttpHeaderNames.CONTENT_TYPE);
            if (type != null) {
                answer.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
            }
            answer(answer);
        }

        @Override
        public void refused(double retryAfterMs) {
            FullHttpResponse answer = response(HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER);
            if (retryAfterMs > 0) {
                answer.headers().set(HttpHeaderNames.RETRY_AFTER,
                        BigDecimal.valueOf((long) Math.ceil(retryAfterMs), 3).toPlainString());
            }
            answer(answer);
        }

        @Override
        public void failed() {
            answer(HttpResponseStatus.BAD_GATEWAY);
        }

        private void answer(HttpResponseStatus status) {
            answer(response(status, Unpooled.EMPTY_BUFFER));
        }

        private FullHttpResponse response(HttpResponseStatus status, ByteBuf body) {
            return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        }

        private void answer(FullHttpResponse answer) {
            HttpUtil.setContentLength(answer, answer.content().readableBytes());
            // While clients wait to be accepted, a connection that is kept would keep one of them out.
            boolean last = draining || full || !keepAlive;
            if (last) {
                answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            open = null;
            ChannelFuture written = channel.writeAndFlush(answer);
            if (last) {
                written.addListener(ChannelFutureListener.CLOSE);
            } else {
                // To the end of those that may be closed for room: it was the last to be used.
                if (connections.remove(this)) {
                    connections.add(this);
                }
                next();
            }
        }

        private void next() {
            FullHttpRequest request = waiting.poll();
            if (request != null) {
                try {
                    handle(request);
                } finally {
                    request.release();
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            closed(this);
            waiting.forEach(FullHttpRequest::release);
            waiting.clear();
            if (open != null) {
                String gone = open;
                open = null;
                proxy.clientGone(gone);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private static String path(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    private static double number(String text, double absent) {
        if (text == null) {
            return absent;
        }
        try {
            return new BigDecimal(text.trim()).doubleValue();
        } catch (NumberFormatException e) {
            return absent;
        }
    }
}
