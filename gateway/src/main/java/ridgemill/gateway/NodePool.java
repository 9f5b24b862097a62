package ridgemill.gateway;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import ridgemill.policy.Router.Availability;
import ridgemill.policy.Router.Outcome;

/**
 * Connections to the cache nodes and the origin. Each carries one exchange at a time; the newest idle one is used
 * first, so that the rest age and close. Nothing is ever sent a second time from here: every exchange ends once, with
 * the outcome that its own connection showed.
 */
final class NodePool {

    /** Idle connections close at this part of the node's own limit: one that it closes first loses a request. */
    private static final double IDLE_PART = 0.75;
    /**
     * How long a connection rests between two exchanges: a second copy of the answer that comes a moment late would be
     * taken for the next one's. Counted by timers, which run after all that has arrived was read, also after a pause.
     */
    private static final long REST_MS = 4;
    /** Idle connections are looked through so often in the time that they may stand, and at least each second. */
    private static final double IDLE_SWEEPS = 10;
    private static final double SWEEP_MS = 1000;
    /** An answer that has begun and does not end in this time is spoilt: nodes write theirs in one go. */
    private static final long STALL_MS = 200;
    private static final byte[] START = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

    /** Takes how an exchange ended; {@code response} is null where no whole answer came and is released afterwards. */
    interface Done {
        void ended(Exchange exchange, Outcome outcome, FullHttpResponse response);
    }

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final double idleMs;
    private final int maxConnections;
    private final Map<String, Target> targets = new HashMap<>();
    private final Deque<Connection> resting = new ArrayDeque<>();
    private final IdleAges ages = new IdleAges();
    private final LongSupplier nanos;
    private boolean restsWatched;
    private boolean idleWatched;
    private int connections;

    NodePool(EventLoop loop, Transport transport, double connectTimeoutMs, double idleMs, int maxConnections) {
        this(loop, transport, connectTimeoutMs, idleMs, maxConnections, System::nanoTime);
    }

    /** {@code nanos} is the clock that idle times are read from. */
    NodePool(EventLoop loop, Transport transport, double connectTimeoutMs, double idleMs, int maxConnections,
             LongSupplier nanos) {
        this.loop = loop;
        this.nanos = nanos;
        this.idleMs = idleMs * IDLE_PART;
        this.maxConnections = maxConnections;
        this.bootstrap = transport.client(loop)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, Math.max(1, (int) connectTimeoutMs));
    }

    /** Takes in the list. Idle connections to a host that drains, left, moved or started anew are of no use. */
    void list(HostList list) {
        if (list.whole()) {
            Set<String> named = list.hosts().stream().map(h -> h.node().id()).collect(Collectors.toSet());
            List.copyOf(targets.keySet()).stream().filter(id -> !named.contains(id)).forEach(this::forget);
        }
        for (HostList.Host host : list.hosts()) {
            Target known = targets.get(host.node().id());
            if (host.node().availability() == Availability.GONE) {
                forget(host.node().id());
            } else if (known == null || !known.dial.equals(host.dial()) || known.bornMs != host.node().startedAtMs()) {
                forget(host.node().id());
                targets.put(host.node().id(), new Target(host.dial(), host.node().startedAtMs()));
            } else if (host.node().availability() == Availability.DRAINING) {
                closeIdle(known);
            }
        }
    }

    private void forget(String node) {
        Target target = targets.remove(node);
        if (target != null) {
            closeIdle(target);
            target.current = false;
        }
    }

    void closeIdle(String node) {
        Target target = targets.get(node);
        if (target != null) {
            closeIdle(target);
        }
    }

    private void closeIdle(Target target) {
        List<Connection> all = new ArrayList<>(target.idle);
        target.idle.clear();
        resting.stream().filter(c -> c.target == target).forEach(all::add);
        resting.removeAll(all);
        all.forEach(c -> c.context.close());
    }

    int connections() {
        return connections;
    }

    /** Whether no connection is in the pause that follows an answer. */
    boolean isRested() {
        return resting.isEmpty();
    }

    /**
     * Starts an exchange that is given up after {@code timeoutMs}. The request is made when a connection is there to
     * write it to, so that the budget it names is what is left then.
     */
    Exchange send(String node, Supplier<FullHttpRequest> request, double timeoutMs, Done done) {
        Exchange exchange = new Exchange(request, done);
        exchange.timer = loop.schedule(exchange::timedOut, (long) (timeoutMs * 1e6), TimeUnit.NANOSECONDS);
        Target target = targets.get(node);
        if (target == null) {
            exchange.end(Outcome.CONNECT_FAILED, null);
            return exchange;
        }
        Connection idle = newestIdle(target);
        if (idle != null) {
            idle.write(exchange);
        } else if (connections < maxConnections || closeOldestIdle()) {
            connect(target, exchange);
        } else {
            // Out of descriptors: opening one more could leave none for a client that is being accepted. The node is
            // not to blame, so this must not look like a failure of its own.
            exchange.end(Outcome.NEVER_SENT, null);
        }
        return exchange;
    }

    private Connection newestIdle(Target target) {
        long now = nanos.getAsLong();
        double limit = Math.min(idleMs, ages.limitMs(now));
        for (Connection c = target.idle.pollFirst(); c != null; c = target.idle.pollFirst()) {
            if (c.idleMs(now) >= limit) {
                c.context.close();
            } else if (c.context.channel().isActive()) {
                return c;
            }
        }
        return null;
    }

    /** Closes what has been idle for too long; runs as long as something is idle. */
    private void watchIdle() {
        if (!idleWatched && idleMs < Long.MAX_VALUE / 1e6) {
            idleWatched = true;
            loop.schedule(this::closeAged, (long) (Math.min(idleMs / IDLE_SWEEPS, SWEEP_MS) * 1e6), TimeUnit.NANOSECONDS);
        }
    }

    private void closeAged() {
        long now = nanos.getAsLong();
        double limit = Math.min(idleMs, ages.limitMs(now));
        boolean left = false;
        for (Target target : targets.values()) {
            for (Connection c = target.idle.peekLast(); c != null && c.idleMs(now) >= limit; c = target.idle.peekLast()) {
                target.idle.removeLast();
                c.context.close();
            }
            left |= !target.idle.isEmpty();
        }
        idleWatched = false;
        if (left) {
            watchIdle();
        }
    }

    private void connect(Target target, Exchange exchange) {
        Connection connection = new Connection(target);
        connections++;
        ChannelFuture connecting = bootstrap.clone().handler(new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new HttpRequestEncoder(), connection.bytes, connection.decoder,
                        new HttpObjectAggregator(ClientServer.MAX_BODY), connection);
            }
        }).connect(target.dial);
        exchange.channel = connecting.channel();
        connecting.channel().closeFuture().addListener(f -> connections--);
        connecting.addListener(f -> {
            if (!f.isSuccess()) {
                connecting.channel().close();
                exchange.end(Outcome.CONNECT_FAILED, null);
            } else if (exchange.over) {
                connecting.channel().close();
            } else {
                connection.write(exchange);
            }
        });
    }

    /** Makes room for a connection that is needed now; false if every one is busy. */
    private boolean closeOldestIdle() {
        Connection oldest = resting.peekFirst();
        for (Target target : targets.values()) {
            Connection candidate = target.idle.peekLast();
            if (candidate != null && (oldest == null || candidate.idleSince - oldest.idleSince < 0)) {
                oldest = candidate;
            }
        }
        if (oldest != null) {
            resting.remove(oldest);
            oldest.target.idle.remove(oldest);
            oldest.context.close();
        }
        return oldest != null;
    }

    /** A host's address and its idle connections, newest first. */
    private static final class Target {
        final SocketAddress dial;
        final double bornMs;
        final Deque<Connection> idle = new ArrayDeque<>();
        /** False once the list has moved on: connections that come free then must not wait for a use. */
        boolean current = true;

        Target(SocketAddress dial, double bornMs) {
            this.dial = dial;
            this.bornMs = bornMs;
        }
    }

    /** One request to one node and its one outcome. */
    final class Exchange {
        private final Supplier<FullHttpRequest> request;
        private final Done done;
        private Channel channel;
        private Future<?> timer;
        private boolean written;
        private boolean over;
        /** How long its connection had been idle, 0 for a new one; and whether bytes of an answer have come. */
        private double idleMs;
        private boolean answering;

        private Exchange(Supplier<FullHttpRequest> request, Done done) {
            this.request = request;
            this.done = done;
        }

        /** Gives it up. The connection goes too: its answer may still come and would be taken for another's. */
        void cancel() {
            abandon(Outcome.CANCELLED);
        }

        private void timedOut() {
            // Before its last byte was written the node cannot have begun it.
            abandon(written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED);
        }

        private void broken() {
            end(written ? Outcome.RESET : Outcome.CONNECT_FAILED, null);
        }

        private void abandon(Outcome outcome) {
            if (!over) {
                end(outcome, null);
                if (channel != null) {
                    channel.close();
                }
            }
        }

        private void end(Outcome outcome, FullHttpResponse response) {
            if (!over) {
                over = true;
                timer.cancel(false);
                boolean broke = outcome == Outcome.RESET || outcome == Outcome.CONNECT_FAILED;
                if (outcome != Outcome.CANCELLED && outcome != Outcome.NEVER_SENT) {
                    ages.used(idleMs, broke && !answering, nanos.getAsLong());
                }
                done.ended(this, outcome, response);
            }
        }
    }

    /** Hands connections back whose rest is over; runs as long as some are left. */
    private void endRests() {
        long now = nanos.getAsLong();
        while (!resting.isEmpty() && now - resting.peekFirst().idleSince >= TimeUnit.MILLISECONDS.toNanos(REST_MS)) {
            resting.removeFirst().rested();
        }
        restsWatched = false;
        watchRests();
    }

    private void watchRests() {
        if (!restsWatched && !resting.isEmpty()) {
            restsWatched = true;
            loop.schedule(this::endRests, REST_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** One connection to a host. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Target target;
        private final StrictHttp.Responses decoder = new StrictHttp.Responses();
        private final Bytes bytes = new Bytes();
        private ChannelHandlerContext context;
        private Exchange current;
        /** The whole answer, until the read that brought it is over and shows whether more came with it. */
        private FullHttpResponse answer;
        private boolean more;
        private int begun;
        private Future<?> stallTimer;
        private long idleSince;
        private boolean used;

        Connection(Target target) {
            this.target = target;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            context = ctx;
        }

        void write(Exchange exchange) {
            current = exchange;
            begun = 0;
            exchange.idleMs = used ? idleMs(nanos.getAsLong()) : 0;
            used = true;
            exchange.channel = context.channel();
            // The promise covers head and body: it fails if the connection breaks before the last byte is written.
            context.writeAndFlush(exchange.request.get()).addListener(f -> {
                if (f.isSuccess()) {
                    exchange.written = true;
                } else {
                    context.close();
                    exchange.broken();
                }
            });
        }

        double idleMs(long now) {
            return Math.max(1, now - idleSince) / 1e6;
        }

        /** Whether bytes that have come can belong to the answer that is awaited. */
        private boolean expected(ByteBuf in) {
            if (current == null || current.over || !current.written) {
                return false;
            }
            for (int i = in.readerIndex(); begun < START.length && i < in.writerIndex(); i++, begun++) {
                if (in.getByte(i) != START[begun]) {
                    return false;
                }
            }
            current.answering = true;
            return true;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (current == null || answer != null) {
                more = true;
            } else if (response.decoderResult().isFailure()) {
                fail(ctx, response.decoderResult().cause());
            } else if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                begun = 0;
            } else if (!ctx.channel().isActive()) {
                // Nothing but the end of the connection ended it, so nobody can tell whether it is whole.
                current.broken();
            } else {
                answer = response.retain();
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (answer != null) {
                finish();
            } else if (current != null && begun > 0 && stallTimer == null) {
                Exchange stalled = current;
                stallTimer = loop.schedule(() -> {
                    stallTimer = null;
                    if (current == stalled && begun > 0) {
                        fail(ctx, null);
                    }
                }, STALL_MS, TimeUnit.MILLISECONDS);
            }
        }

        /** Ends the exchange with its answer. What came behind it would be taken for the next one's. */
        private void finish() {
            FullHttpResponse response = answer;
            Exchange exchange = current;
            answer = null;
            current = null;
            if (stallTimer != null) {
                stallTimer.cancel(false);
                stallTimer = null;
            }
            if (!more && !decoder.leftOver() && HttpUtil.isKeepAlive(response) && target.current) {
                rest();
            } else {
                context.close();
            }
            try {
                exchange.end(outcome(response), response);
            } finally {
                response.release();
            }
        }

        private void rest() {
            idleSince = nanos.getAsLong();
            resting.addLast(this);
            watchRests();
        }

        private void rested() {
            if (!context.channel().isActive() || !target.current) {
                context.close();
                return;
            }
            target.idle.addFirst(this);
            watchIdle();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            target.idle.remove(this);
            resting.remove(this);
            if (answer != null) {
                finish();
            } else if (current != null) {
                current.broken();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            fail(ctx, cause);
        }

        /** A connection that broke ends its exchange as such, also inside an answer; else the answer makes no sense. */
        private void fail(ChannelHandlerContext ctx, Throwable cause) {
            boolean broke = cause instanceof IOException || cause instanceof PrematureChannelClosureException;
            if (answer != null) {
                more = true;
                finish();
            } else if (current != null && !broke && current.written) {
                current.end(Outcome.ERROR, null);
            } else if (current != null) {
                current.broken();
            }
            ctx.close();
        }

        /**
         * Sees bytes before they are decoded. Those that come while nothing is awaited, or before the request is out,
         * belong to an older one, and those that start no answer would only be seen as such at the end of a line.
         */
        private final class Bytes extends ChannelInboundHandlerAdapter {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object message) {
                if (answer != null) {
                    more = true;
                    ReferenceCountUtil.release(message);
                } else if (message instanceof ByteBuf in && !expected(in)) {
                    in.release();
                    fail(context, null);
                } else {
                    ctx.fireChannelRead(message);
                }
            }
        }
    }

    private static Outcome outcome(FullHttpResponse response) {
        HttpResponseStatus status = response.status();
        return switch (status.code()) {
            case 200 -> Outcome.OK;
            case 404 -> Outcome.MISS;
            case 503, 504 -> "1".equals(response.headers().get("X-Rejected")) ? Outcome.REJECTED : Outcome.ERROR;
            default -> Outcome.ERROR;
        };
    }
}
