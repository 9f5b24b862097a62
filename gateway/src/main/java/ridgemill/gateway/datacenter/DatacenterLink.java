package ridgemill.gateway.datacenter;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.http2.Http2DataFrame;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2FrameStream;
import io.netty.handler.codec.http2.Http2FrameStreamException;
import io.netty.handler.codec.http2.Http2GoAwayFrame;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2HeadersFrame;
import io.netty.handler.codec.http2.Http2ResetFrame;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.handler.ssl.SslHandler;
import io.netty.handler.ssl.SslHandshakeCompletionEvent;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import ridgemill.core.Timers;
import ridgemill.gateway.datacenter.DatacenterWire.Reply;
import ridgemill.gateway.net.Content;
import ridgemill.gateway.net.Log;
import ridgemill.gateway.net.Transport;
import ridgemill.datacenter.DatacenterRouter.Indeterminate;
import ridgemill.datacenter.DatacenterRouter.ForwardOutcome;
import ridgemill.datacenter.DatacenterRouter.KeyStatus;
import ridgemill.datacenter.DatacenterRouter;
import ridgemill.datacenter.LinkHealth;
import ridgemill.idempotency.IdempotencyRecord;

/**
 * A long-lived connection to a gateway of another datacenter, and the messages that are in flight on it. The state of
 * the gateway is requested at short intervals, which shows whether it responds. After the connection is lost it is
 * opened again, with growing random delays. If only this connection is dead, because a middlebox dropped its entry,
 * the gateway may still be reachable: a replacement is therefore opened beside a stalled connection, and takes over if
 * it responds first. Messages in flight on a lost connection are lost; this class never sends a message twice.
 */
final class DatacenterLink {

    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final double HANDSHAKE_TIMEOUT_MS = 2000;
    /** How long a connection is stalled before a replacement is opened. */
    private static final double REPLACEMENT_DELAY_MS = 500;
    private static final double INITIAL_RECONNECT_DELAY_MS = 100;
    private static final double MAX_RECONNECT_DELAY_MS = 2000;
    private static final int STREAM_WINDOW_BYTES = 256 * 1024;
    /** Bytes waiting to be written above which no new request is sent. */
    private static final int MAX_UNSENT_BYTES = 4 * 1024 * 1024;

    private final EventLoop loop;
    private final Timers timers;
    private final String ownDatacenter;
    private final String gateway;
    private final String peerDatacenter;
    private final InetSocketAddress address;
    private final DatacenterAuthenticator authenticator;
    private final DatacenterRouter router;
    private final SplittableRandom random;
    private Connection current;
    /** Opened beside the current connection, which does not respond; null for none. */
    private Connection replacement;
    private double reconnectDelayMs = INITIAL_RECONNECT_DELAY_MS;
    private boolean closed;
    private boolean wasUp;
    private long bytesOut;
    private long bytesIn;
    private long replacements;

    DatacenterLink(EventLoop loop, Timers timers, String ownDatacenter, String gateway, String peerDatacenter,
                   InetSocketAddress address, DatacenterAuthenticator authenticator, DatacenterRouter router,
                   long seed) {
        this.loop = loop;
        this.timers = timers;
        this.ownDatacenter = ownDatacenter;
        this.gateway = gateway;
        this.peerDatacenter = peerDatacenter;
        this.address = address;
        this.authenticator = authenticator;
        this.router = router;
        this.random = new SplittableRandom(seed ^ gateway.hashCode());
    }

    /** A request that is in flight. */
    interface OutgoingCall {

        /** Cancels the request at the other side; its callback is not called any more. */
        void cancel();
    }

    void open() {
        if (!closed) {
            current = openConnection();
        }
    }

    private Connection openConnection() {
        Connection next = new Connection();
        ChannelFuture connecting = Transport.TCP.client(loop)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(MAX_UNSENT_BYTES / 2, MAX_UNSENT_BYTES))
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel c) {
                        if (authenticator.clientContext() != null) {
                            c.pipeline().addLast(authenticator.clientContext().newHandler(c.alloc()));
                        }
                        c.pipeline().addLast(Http2FrameCodecBuilder.forClient()
                                .encoderEnforceMaxConcurrentStreams(false)
                                .initialSettings(Http2Settings.defaultSettings().pushEnabled(false)
                                .maxHeaderListSize(DatacenterWire.MAX_HEADER_LIST_BYTES)
                                .initialWindowSize(STREAM_WINDOW_BYTES))
                                .build(), next);
                    }
                }).connect(address);
        next.channel = connecting.channel();
        connecting.addListener(f -> {
            if (!f.isSuccess()) {
                boolean refused = String.valueOf(f.cause().getMessage()).contains("refused");
                if (current == next) {
                    router.connectionFailed(timers.now(), gateway, refused);
                }
                next.connectionEnded(String.valueOf(f.cause().getMessage()));
            }
        });
        return next;
    }

    void close() {
        closed = true;
        for (Connection c : new Connection[] {current, replacement}) {
            if (c != null) {
                c.channel.close();
            }
        }
    }

    /** Describes the link for operators. */
    String explain() {
        return "link " + gateway + " bytes out " + bytesOut + " in " + bytesIn + " replaced " + replacements;
    }

    /** Sends a request; {@code done} is called once, and never before this method returns. */
    OutgoingCall call(DatacenterWire.Call call, Consumer<Reply> done) {
        Connection c = current;
        if (c == null || !c.ready || !c.channel.isWritable()) {
            loop.execute(() -> done.accept(Reply.of(ForwardOutcome.UNSENT)));
            return () -> { };
        }
        ByteBuf body = call.command().content().bytes();
        return c.startExchange(DatacenterWire.call(call), body.isReadable() ? body.retainedDuplicate() : null,
                (h, content) ->
                done.accept(DatacenterWire.reply(h, content)), end -> done.accept(Reply.of(end)));
    }

    /** Returns the shortest round trip so far, in milliseconds; 0 before the first one. */
    double minRoundTripMs() {
        return current == null ? 0 : current.health.minRttMs();
    }

    /** Queries where an idempotency key may have run; {@code done} is called once, unless no response arrives. */
    void queryKey(String key, double windowMs, Consumer<KeyStatus> done) {
        Connection c = current;
        if (c == null || !c.ready) {
            loop.execute(() -> done.accept(new Indeterminate()));
            return;
        }
        c.startExchange(DatacenterWire.keyQuery(key, windowMs), null,
                (h, content) -> done.accept(DatacenterWire.keyStatus(h)),
                end -> done.accept(new Indeterminate()));
    }

    /**
     * Queries the record of an idempotency key; {@code done} is called once with it or null, unless no response
     * arrives.
     */
    void queryOutcome(String key, String tenant, Consumer<IdempotencyRecord> done) {
        Connection c = current;
        if (c == null || !c.ready) {
            loop.execute(() -> done.accept(null));
            return;
        }
        c.startExchange(DatacenterWire.outcomeQuery(key, tenant), null,
                (h, content) -> done.accept(DatacenterWire.idempotencyRecord(h, tenant, timers.now())),
                end -> done.accept(null));
    }

    /** Returns how much longer the last round trip was than the shortest one, in milliseconds. */
    double excessRoundTripMs() {
        return current == null ? 0 : Math.max(0, current.health.rttMs() - current.health.minRttMs());
    }

    private void scheduleReconnect() {
        if (!closed) {
            double delayMs = reconnectDelayMs * (0.5 + random.nextDouble() / 2);
            reconnectDelayMs = Math.min(MAX_RECONNECT_DELAY_MS, 2 * reconnectDelayMs);
            loop.schedule(this::open, (long) (delayMs * 1e6), TimeUnit.NANOSECONDS);
        }
    }

    /** A message and its response. */
    private final class Exchange implements OutgoingCall {
        private final Connection connection;
        private final Http2FrameStream stream;
        private final BiConsumer<Http2Headers, Content> onResponse;
        private final Consumer<ForwardOutcome> onFailure;
        private boolean written;
        private boolean finished;
        private Http2Headers headers;
        private final MessageBody body = new MessageBody();

        Exchange(Connection connection, Http2FrameStream stream, BiConsumer<Http2Headers, Content> onResponse,
                 Consumer<ForwardOutcome> onFailure) {
            this.connection = connection;
            this.stream = stream;
            this.onResponse = onResponse;
            this.onFailure = onFailure;
        }

        @Override
        public void cancel() {
            if (!finished) {
                remove();
                connection.resetStream(stream, Http2Error.CANCEL);
            }
        }

        private void remove() {
            finished = true;
            connection.exchanges.remove(stream);
        }

        void fail(ForwardOutcome outcome) {
            if (!finished) {
                remove();
                onFailure.accept(outcome);
            }
        }

        /**
         * Ends after an interruption: unless its last byte was written, the other side cannot have started the
         * request.
         */
        void interrupted() {
            fail(written ? ForwardOutcome.LOST : ForwardOutcome.UNSENT);
        }

        void data(ByteBuf bytes) {
            if (!body.add(bytes)) {
                connection.resetStream(stream, Http2Error.CANCEL);
                fail(ForwardOutcome.FAILED);
            }
        }

        void complete() {
            if (!finished && headers != null) {
                remove();
                onResponse.accept(headers, body.content());
            }
        }
    }

    /** One connection, from opening to its end. */
    private final class Connection extends DatacenterConnection {
        private final Map<Http2FrameStream, Exchange> exchanges = new HashMap<>();
        private final LinkHealth health = new LinkHealth();
        private final double openedAtMs = timers.now();
        private Channel channel;
        private Future<?> nextHeartbeat;
        private Future<?> handshakeTimeout;
        private boolean ready;
        private boolean ended;
        private boolean leaving;
        private double stalledSince = Double.NaN;

        @Override
        public void channelActive(ChannelHandlerContext ctx) throws Exception {
            super.channelActive(ctx);
            handshakeTimeout = loop.schedule(() -> fail("the handshake timed out"), (long) (HANDSHAKE_TIMEOUT_MS * 1e6),
                    TimeUnit.NANOSECONDS);
            if (authenticator.clientContext() == null) {
                hello();
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
            if (event instanceof SslHandshakeCompletionEvent handshake) {
                SslHandler tls = ctx.pipeline().get(SslHandler.class);
                if (!handshake.isSuccess()) {
                    fail("TLS: " + handshake.cause().getMessage());
                } else if (!DatacenterAuthenticator.certificateNames(tls.engine().getSession())
                        .contains(peerDatacenter)) {
                    fail("its certificate is not of " + peerDatacenter);
                } else {
                    hello();
                }
            }
            super.userEventTriggered(ctx, event);
        }

        private void hello() {
            String nonce = authenticator.nonce();
            startExchange(DatacenterWire.request(DatacenterWire.HELLO)
                    .set(DatacenterWire.VERSION, DatacenterWire.THIS_VERSION)
                    .set(DatacenterWire.DATACENTER, ownDatacenter).set(DatacenterWire.NONCE, nonce), null,
                    (h, content) -> helloAnswered(nonce, h), end -> fail("no reply to the handshake"));
        }

        private void helloAnswered(String nonce, Http2Headers h) {
            String peerNonce = DatacenterWire.text(h, DatacenterWire.NONCE);
            if (!"200".equals(String.valueOf(h.status()))
                    || !peerDatacenter.equals(DatacenterWire.text(h, DatacenterWire.DATACENTER)) || peerNonce == null) {
                fail("it is not " + peerDatacenter + ": status " + h.status() + ", "
                        + DatacenterWire.text(h, DatacenterWire.DATACENTER));
            } else if (!authenticator.usesSharedKey()) {
                handshakeCompleted();
            } else if (!DatacenterAuthenticator.constantTimeEquals(
                    String.valueOf(DatacenterWire.text(h, DatacenterWire.PROOF_VALUE)),
                    authenticator.proof("answer", ownDatacenter, peerDatacenter, nonce, peerNonce))) {
                fail("it does not have the key");
            } else {
                startExchange(DatacenterWire.request(DatacenterWire.PROOF).set(DatacenterWire.PROOF_VALUE,
                        authenticator.proof("ask", ownDatacenter, peerDatacenter, nonce, peerNonce)), null,
                        (response, content) -> {
                            if ("200".equals(String.valueOf(response.status()))) {
                                handshakeCompleted();
                            } else {
                                fail("it does not accept our proof");
                            }
                        }, end -> fail("it does not accept our proof"));
            }
        }

        private void handshakeCompleted() {
            handshakeTimeout.cancel(false);
            ready = true;
            reconnectDelayMs = INITIAL_RECONNECT_DELAY_MS;
            heartbeat();
        }

        /**
         * Takes the place of the current connection, which stopped responding. Responses may still arrive on that one,
         * but it gets no new requests.
         */
        private void takeOver() {
            Connection previous = current;
            replacements++;
            replacement = null;
            current = this;
            if (previous != null) {
                previous.leaving = true;
                previous.ready = false;
            }
        }

        private void connectReplacement(LinkHealth.State state, double now) {
            if (state == LinkHealth.State.UP) {
                stalledSince = Double.NaN;
            } else if (Double.isNaN(stalledSince)) {
                stalledSince = now;
            } else if (now - stalledSince >= REPLACEMENT_DELAY_MS && this == current && replacement == null) {
                replacement = openConnection();
            }
        }

        private void heartbeat() {
            if (ended) {
                return;
            }
            if (this != current && this != replacement && exchanges.isEmpty()) {
                // It was replaced, and all its messages have ended.
                channel.close();
                return;
            }
            double now = timers.now();
            LinkHealth.State state = health.state(now);
            if (state == LinkHealth.State.DEAD) {
                fail("no response for too long");
                return;
            }
            reportState(state);
            connectReplacement(state, now);
            health.heartbeatSent(now);
            startExchange(DatacenterWire.request(DatacenterWire.STATE), null, (h, content) -> {
                health.heartbeatAnswered(timers.now());
                if (this == replacement) {
                    takeOver();
                }
                reportState(health.state(timers.now()));
                if (this == current) {
                    router.gatewayStateReceived(timers.now(), gateway, DatacenterWire.gatewayState(h));
                }
            }, end -> { });
            nextHeartbeat = loop.schedule(this::heartbeat, (long) (LinkHealth.INTERVAL_MS * 1e6), TimeUnit.NANOSECONDS);
        }

        private void reportState(LinkHealth.State state) {
            if (current == this && ready && !leaving) {
                // Before the first response the connection is not known to work.
                LinkHealth.State known = health.rttMs() == 0 ? LinkHealth.State.STALLED : state;
                if (known == LinkHealth.State.UP && !wasUp) {
                    wasUp = true;
                    Log.info("halls: link to " + peerDatacenter + " at " + gateway + " is up");
                }
                router.linkStateChanged(gateway, known, health.rttMs());
            }
        }

        Exchange startExchange(Http2Headers headers, ByteBuf body, BiConsumer<Http2Headers, Content> onResponse,
                               Consumer<ForwardOutcome> onFailure) {
            Http2FrameStream stream = newStream();
            Exchange exchange = new Exchange(this, stream, onResponse, onFailure);
            exchanges.put(stream, exchange);
            // Every message has a send time, so that the other side knows the usual transit time early.
            DatacenterWire.sentAt(headers, timers.now() - openedAtMs);
            bytesOut += body == null ? 0 : body.readableBytes();
            send(stream, headers, body).addListener(f -> {
                if (f.isSuccess()) {
                    exchange.written = true;
                } else {
                    loop.execute(exchange::interrupted);
                }
            });
            return exchange;
        }

        @Override
        void reset(Http2ResetFrame frame) {
            Exchange exchange = exchanges.get(frame.stream());
            if (exchange != null && frame.errorCode() == Http2Error.REFUSED_STREAM.code()) {
                // RFC 9113, section 8.7: the request was not processed.
                exchange.fail(ForwardOutcome.UNSENT);
            } else if (exchange != null) {
                exchange.interrupted();
            }
        }

        @Override
        void headers(Http2HeadersFrame frame) {
            Exchange exchange = exchanges.get(frame.stream());
            if (exchange != null) {
                if (exchange.headers == null) {
                    exchange.headers = frame.headers();
                }
                if (frame.isEndStream()) {
                    exchange.complete();
                }
            }
        }

        @Override
        void data(Http2DataFrame frame) {
            bytesIn += frame.content().readableBytes();
            Exchange exchange = exchanges.get(frame.stream());
            if (exchange != null) {
                exchange.data(frame.content());
                if (frame.isEndStream()) {
                    exchange.complete();
                }
            }
        }

        @Override
        void goAway(Http2GoAwayFrame frame) {
            leaving = true;
            ready = false;
            if (this == current) {
                router.linkStateChanged(gateway, LinkHealth.State.STALLED, health.rttMs());
            }
            // RFC 9113, section 6.8: streams above the last one were not processed, and may be sent elsewhere.
            for (Exchange exchange : List.copyOf(exchanges.values())) {
                if (exchange.stream.id() > frame.lastStreamId()) {
                    exchange.fail(ForwardOutcome.UNSENT);
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) throws Exception {
            connectionEnded("the connection ended");
            super.channelInactive(ctx);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof Http2FrameStreamException e) {
                Exchange exchange = exchanges.get(e.stream());
                if (exchange != null) {
                    exchange.interrupted();
                }
            } else {
                fail(String.valueOf(cause.getMessage()));
            }
        }

        private void fail(String reason) {
            connectionEnded(reason);
            channel.close();
        }

        private void connectionEnded(String reason) {
            if (ended) {
                return;
            }
            ended = true;
            ready = false;
            for (Future<?> f : new Future<?>[] {nextHeartbeat, handshakeTimeout}) {
                if (f != null) {
                    f.cancel(false);
                }
            }
            if (replacement == this) {
                replacement = null;
            }
            boolean wasCurrent = current == this;
            if (wasCurrent) {
                router.linkStateChanged(gateway, LinkHealth.State.DEAD, health.rttMs());
                if (wasUp || reconnectDelayMs == INITIAL_RECONNECT_DELAY_MS) {
                    wasUp = false;
                    Log.info("halls: no link to " + peerDatacenter + " at " + gateway + ": " + reason);
                }
            }
            new ArrayList<>(exchanges.values()).forEach(Exchange::interrupted);
            if (wasCurrent && replacement != null) {
                // The replacement is already being opened.
                current = replacement;
                replacement = null;
            } else if (wasCurrent) {
                scheduleReconnect();
            }
        }
    }
}
