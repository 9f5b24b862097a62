package ridgemill.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.netty.util.ReferenceCountUtil;
import java.math.BigDecimal;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import ridgemill.policy.Router.Effect;
import ridgemill.policy.Router.Request;
import ridgemill.policy.Router.ServiceClass;
import ridgemill.policy.Router.Settings;

/** Takes clients' requests in and their answers out. What no node could make sense of is answered here. */
final class ClientServer {

    static final int MAX_BODY = 64 * 1024;
    private static final String API = "/api/";
    private static final Pattern ID = Pattern.compile("[0-9A-Za-z_-]{1,64}");
    /** A budget past this is a mistake, and as a timer would outlive the process. */
    private static final double MAX_BUDGET_S = 3600;
    private static final int MAX_WAITING = 16;
    /** How often the limits in time are looked at: one timer for all, as most connections never reach one. */
    private static final long SWEEP_MS = 250;
    /** How long a connection may say nothing at first, take for one request, or leave its answer unread. */
    private static final long SILENT_MS = 2000;
    private static final long READING_MS = 2000;
    private static final long UNREAD_MS = 3000;
    /** How long one that was served is kept for its next request: some clients ask once and stay for good. */
    private static final long IDLE_MS = 4000;
    /** How long, and for how many bytes, input is read on after an error: unread input would reset the error away. */
    private static final long LINGER_MS = 1000;
    private static final long LINGER_BYTES = 1 << 20;
    /**
     * Part of the connections that may be kept for a next request. Past it each answer is its connection's last and idle
     * ones go sooner: clients that ask once and stay would else use up the connections that clients may hold, and all
     * others would find none. Could do harm where that many clients do ask again: each request then opens a connection.
     */
    private static final int KEPT_PART = 4;
    private static final long CROWDED_IDLE_MS = 2000;
    /** Part of the connections that may have no request and never had a good one. */
    private static final int UNPROVEN_PART = 4;
    private static final long KEY_BITS = (1L << 53) - 1;

    private final EventLoop loop;
    private final Proxy proxy;
    private final int maxConnections;
    private final Map<String, ServiceClass> classes = new HashMap<>();
    private final Set<Connection> connections = new LinkedHashSet<>();
    private Channel listener;
    private boolean ready;
    private boolean full;
    private int idle;
    private boolean draining;

    ClientServer(EventLoop loop, Proxy proxy, Settings settings, int maxConnections) {
        this.loop = loop;
        this.proxy = proxy;
        this.maxConnections = maxConnections;
        settings.classes().forEach(c -> classes.put(c.name(), c));
    }

    ChannelFuture listen(Transport transport, SocketAddress address) {
        ChannelFuture bound = transport.server(loop)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        Connection connection = new Connection(channel);
                        channel.pipeline().addLast(connection.bytes, new StrictHttp.Requests(),
                                new HttpResponseEncoder(), new Bodies(), connection);
                        makeRoom();
                        connections.add(connection);
                    }
                }).bind(address);
        listener = bound.channel();
        loop.scheduleAtFixedRate(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
        return bound;
    }

    private void sweep() {
        long now = System.nanoTime();
        List.copyOf(connections).forEach(c -> c.sweep(now));
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
     * Keeps below the descriptors that are ours. Of those that never had a good request a part may stay, so that a crowd
     * that says nothing takes no usual client's place; then the one that has waited longest goes. If every one is busy
     * the next clients wait in the listener's backlog until one has its answer: accepting past the limit would fail
     * for all.
     */
    private void makeRoom() {
        List<Connection> unproven = connections.stream().filter(c -> !c.proven && !c.busy()).toList();
        boolean crowded = connections.size() + 1 >= maxConnections;
        if (!unproven.isEmpty() && (crowded || unproven.size() >= Math.max(1, maxConnections / UNPROVEN_PART))) {
            unproven.stream().min(Comparator.comparingLong(c -> c.since)).ifPresent(c -> c.channel.close());
        } else if (crowded) {
            Optional<Connection> idle = connections.stream().filter(c -> !c.busy()).findFirst();
            idle.ifPresent(c -> c.channel.close());
        }
        if (crowded) {
            full = true;
            listener.config().setAutoRead(false);
        }
    }

    private boolean crowded() {
        return idle >= Math.max(1, maxConnections / KEPT_PART);
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

    /** Puts requests together; one whose body is too long is told of by an exception, and its rest is dropped. */
    private static final class Bodies extends HttpObjectAggregator {
        Bodies() {
            super(MAX_BODY);
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
            ctx.fireExceptionCaught(new TooLongHttpContentException("body over " + MAX_BODY + " bytes"));
        }
    }

    /** What a connection is doing; the limits in time go by it. */
    private enum Phase { SILENT, READING, BUSY, IDLE, CLOSING }

    /** One client's connection: its requests are answered one at a time, in their order. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> implements Proxy.Client {
        private final Channel channel;
        private final Bytes bytes = new Bytes();
        private final Queue<Waiting> waiting = new ArrayDeque<>();
        private Phase phase = Phase.SILENT;
        private long since = System.nanoTime();
        private ChannelFuture written;
        /** Whether it ever had a request that could be taken. */
        private boolean proven;
        private String open;
        private boolean keepAlive;

        Connection(Channel channel) {
            this.channel = channel;
        }

        private void enter(Phase next) {
            idle += (next == Phase.IDLE ? 1 : 0) - (phase == Phase.IDLE ? 1 : 0);
            phase = next;
            since = System.nanoTime();
        }

        boolean busy() {
            return phase == Phase.BUSY;
        }

        void closeIfIdle() {
            if (!busy() && phase != Phase.CLOSING) {
                channel.close();
            }
        }

        /** A client that sends no end, reads no answer or just stays would hold its descriptor for good. */
        void sweep(long now) {
            long ms = TimeUnit.NANOSECONDS.toMillis(now - since);
            switch (phase) {
                case SILENT -> closeAfter(ms, SILENT_MS);
                case IDLE -> closeAfter(ms, written != null && !written.isDone() ? UNREAD_MS
                        : crowded() ? CROWDED_IDLE_MS : IDLE_MS);
                case CLOSING -> closeAfter(ms, written != null && !written.isDone() ? UNREAD_MS : LINGER_MS);
                case READING -> {
                    if (ms >= READING_MS) {
                        reject(HttpResponseStatus.REQUEST_TIMEOUT);
                    }
                }
                case BUSY -> { }
            }
        }

        private void closeAfter(long ms, long limit) {
            if (ms >= limit) {
                channel.close();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (phase == Phase.CLOSING) {
                return;
            }
            if (!busy()) {
                handle(request, System.nanoTime());
            } else {
                waiting.add(new Waiting(request.retain(), System.nanoTime()));
                if (waiting.size() >= MAX_WAITING) {
                    // What it sends further waits on its side of the connection.
                    channel.config().setAutoRead(false);
                }
            }
        }

        private void handle(FullHttpRequest request, long arrived) {
            keepAlive = HttpUtil.isKeepAlive(request);
            if (request.decoderResult().isFailure() || StrictHttp.oddCoding(request)) {
                reject(HttpResponseStatus.BAD_REQUEST);
                return;
            }
            String path = path(request.uri());
            HttpMethod method = request.method();
            boolean api = path.startsWith(API) && path.length() > API.length();
            if (!api && !path.equals("/up")) {
                reject(HttpResponseStatus.NOT_FOUND);
            } else if (!method.equals(HttpMethod.GET) && !(api && method.equals(HttpMethod.PUT))) {
                reject(HttpResponseStatus.METHOD_NOT_ALLOWED);
            } else if (!api) {
                answer(ready && !draining ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE);
            } else {
                call(request, path, arrived);
            }
        }

        private void call(FullHttpRequest in, String path, long arrived) {
            HttpHeaders headers = in.headers();
            String id = headers.get("X-Call-Id", "");
            ServiceClass service = classes.get(headers.get("X-Call-Class", ""));
            double budgetS = number(headers.get("X-Budget"), -1);
            boolean write = in.method().equals(HttpMethod.PUT);
            boolean unkeyed = write && service != null && service.effect() == Effect.KEYED
                    && headers.get("Idempotency-Key", "").isEmpty();
            // Without its key a keyed write's repeat would not be dropped, and it may be sent again.
            if (!ID.matcher(id).matches() || service == null || unkeyed || proxy.isOpen(id)
                    || !(budgetS >= 0 && budgetS <= MAX_BUDGET_S)) {
                reject(HttpResponseStatus.BAD_REQUEST);
                return;
            }
            // A request that came behind another has waited here already.
            double waitedMs = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - arrived) / 1e3;
            Request request = new Request(id, service.name(), headers.get("X-Caller"), key(path),
                    Math.max(0, number(headers.get("X-Call-Cost"), 0)) / 1000, Math.max(0, budgetS * 1000 - waitedMs),
                    write, "1".equals(headers.get("X-Again")));
            enter(Phase.BUSY);
            proven = true;
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
            boolean last = draining || full || crowded() || !keepAlive;
            if (last) {
                answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            open = null;
            enter(last ? Phase.CLOSING : Phase.IDLE);
            written = channel.writeAndFlush(answer);
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

        /**
         * Answers what makes no sense and closes. Only our half at first: closing on input that is still coming would
         * reset the connection before the client has read why.
         */
        private void reject(HttpResponseStatus status) {
            FullHttpResponse answer = response(status, Unpooled.EMPTY_BUFFER);
            HttpUtil.setContentLength(answer, 0);
            answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            enter(Phase.CLOSING);
            dropWaiting();
            channel.config().setAutoRead(true);
            written = channel.writeAndFlush(answer);
            written.addListener(f -> {
                if (channel instanceof DuplexChannel halves) {
                    halves.shutdownOutput();
                }
            });
        }

        private void next() {
            Waiting request = waiting.poll();
            if (request == null) {
                return;
            }
            channel.config().setAutoRead(true);
            try {
                handle(request.request(), request.arrived());
            } finally {
                request.request().release();
            }
        }

        private void dropWaiting() {
            waiting.forEach(w -> w.request().release());
            waiting.clear();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            enter(Phase.CLOSING);
            closed(this);
            dropWaiting();
            if (open != null) {
                String gone = open;
                open = null;
                proxy.clientGone(gone);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof TooLongHttpContentException)) {
                ctx.close();
            } else if (!busy() && phase != Phase.CLOSING) {
                reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            } else {
                // Behind a request that is open: that one has its answer first, and it is the last.
                keepAlive = false;
            }
        }

        /** Sees bytes before they are decoded: the clock for a request runs from its first. */
        private final class Bytes extends ChannelInboundHandlerAdapter {
            private long dropped;

            @Override
            public void channelRead(ChannelHandlerContext ctx, Object message) {
                if (phase == Phase.CLOSING) {
                    dropped += message instanceof ByteBuf in ? in.readableBytes() : 0;
                    ReferenceCountUtil.release(message);
                    if (dropped > LINGER_BYTES) {
                        channel.config().setAutoRead(false);
                    }
                    return;
                }
                if (phase == Phase.SILENT || phase == Phase.IDLE) {
                    enter(Phase.READING);
                }
                ctx.fireChannelRead(message);
            }
        }
    }

    /** A request that came while another was open on its connection, and when, as its time runs from then. */
    private record Waiting(FullHttpRequest request, long arrived) { }

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
