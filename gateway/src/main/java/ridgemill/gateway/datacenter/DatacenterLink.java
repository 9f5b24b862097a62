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
 * One long-lived connection to a gateway of another hall, and what is out on it. It is asked for its state at short
 * intervals, which shows whether it answers; it is made anew, ever later and by chance, when it has gone. One that is silent
 * may be the only one that is (a middlebox has forgotten it), so another is tried beside it, and takes its place if it
 * answers first. What was out on one that has gone is lost, and nothing is sent a second time here.
 */
final class DatacenterLink {

    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final double HANDSHAKE_TIMEOUT_MS = 2000;
    /** For how long one is silent before another is tried. */
    private static final double REPLACEMENT_DELAY_MS = 500;
    private static final double INITIAL_RECONNECT_DELAY_MS = 100;
    private static final double MAX_RECONNECT_DELAY_MS = 2000;
    private static final int STREAM_WINDOW_BYTES = 256 * 1024;
    /** So much may be waiting to be written before nothing new goes out. */
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
    /** Tried beside the present one, which does not answer; null for none. */
    private Connection replacement;
    private double reconnectDelayMs = INITIAL_RECONNECT_DELAY_MS;
    private boolean closed;
    private boolean wasUp;
    private long bytesOut;
    private long bytesIn;
    private long replacements;

    DatacenterLink(EventLoop loop, Timers timers, String hall, String name, String peerHall, InetSocketAddress address, DatacenterAuthenticator keys,
             DatacenterRouter halls, long seed) {
        this.loop = loop;
        this.timers = timers;
        this.ownDatacenter = hall;
        this.gateway = name;
        this.peerDatacenter = peerHall;
        this.address = address;
        this.authenticator = keys;
        this.router = halls;
        this.random = new SplittableRandom(seed ^ name.hashCode());
    }

    /** A crossing that is out. */
    interface OutgoingCall {

        /** The other side is told to stop; nothing more is heard of it. */
        void cancel();
    }

    void open() {
        if (!closed) {
            current = openConnection();
        }
    }

    private Connection openConnection() {
        Connection next = new Connection();
        ChannelFuture connecting = Transport.TCP.client(loop).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(MAX_UNSENT_BYTES / 2, MAX_UNSENT_BYTES))
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel c) {
                        if (authenticator.clientContext() != null) {
                            c.pipeline().addLast(authenticator.clientContext().newHandler(c.alloc()));
                        }
                        c.pipeline().addLast(Http2FrameCodecBuilder.forClient().encoderEnforceMaxConcurrentStreams(false)
                                .initialSettings(Http2Settings.defaultSettings().pushEnabled(false)
                                .maxHeaderListSize(DatacenterWire.MAX_HEADER_LIST_BYTES).initialWindowSize(STREAM_WINDOW_BYTES))
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

    /** How it is, for whoever watches. */
    String explain() {
        return "link " + gateway + " bytes out " + bytesOut + " in " + bytesIn + " replaced " + replacements;
    }

    /** Sends a request; {@code done} is called once, and never before this returns. */
    OutgoingCall call(DatacenterWire.Call call, Consumer<Reply> done) {
        Connection c = current;
        if (c == null || !c.ready || !c.channel.isWritable()) {
            loop.execute(() -> done.accept(Reply.of(ForwardOutcome.UNSENT)));
            return () -> { };
        }
        ByteBuf body = call.command().content().bytes();
        return c.startExchange(DatacenterWire.call(call), body.isReadable() ? body.retainedDuplicate() : null, (h, content) ->
                done.accept(DatacenterWire.reply(h, content)), end -> done.accept(Reply.of(end)));
    }

    /** The least time that a message and its answer take, in milliseconds; 0 before there is any. */
    double minRoundTripMs() {
        return current == null ? 0 : current.health.minRttMs();
    }

    /** Asks where a key may have run; {@code done} is called once, unless the link stays silent. */
    void queryKey(String key, double windowMs, Consumer<KeyStatus> done) {
        Connection c = current;
        if (c == null || !c.ready) {
            loop.execute(() -> done.accept(new Indeterminate()));
            return;
        }
        c.startExchange(DatacenterWire.keyQuery(key, windowMs), null, (h, content) -> done.accept(DatacenterWire.keyStatus(h)),
                end -> done.accept(new Indeterminate()));
    }

    /** Asks what a key came to there; {@code done} is called once with it or with null, unless the link stays silent. */
    void queryOutcome(String key, String tenant, Consumer<IdempotencyRecord> done) {
        Connection c = current;
        if (c == null || !c.ready) {
            loop.execute(() -> done.accept(null));
            return;
        }
        c.startExchange(DatacenterWire.outcomeQuery(key, tenant), null, (h, content) -> done.accept(DatacenterWire.idempotencyRecord(h, tenant, timers.now())),
                end -> done.accept(null));
    }

    /** By how much the last round trip took longer than the least, in milliseconds. */
    double excessRoundTripMs() {
        return current == null ? 0 : Math.max(0, current.health.rttMs() - current.health.minRttMs());
    }

    private void scheduleReconnect() {
        if (!closed) {
            double wait = reconnectDelayMs * (0.5 + random.nextDouble() / 2);
            reconnectDelayMs = Math.min(MAX_RECONNECT_DELAY_MS, 2 * reconnectDelayMs);
            loop.schedule(this::open, (long) (wait * 1e6), TimeUnit.NANOSECONDS);
        }
    }

    /** A question on its way. */
    private final class Exchange implements OutgoingCall {
        private final Connection connection;
        private final Http2FrameStream stream;
        private final BiConsumer<Http2Headers, Content> onResponse;
        private final Consumer<ForwardOutcome> onFailure;
        private boolean written;
        private boolean finished;
        private Http2Headers headers;
        private final MessageBody body = new MessageBody();

        Exchange(Connection on, Http2FrameStream stream, BiConsumer<Http2Headers, Content> answered, Consumer<ForwardOutcome> ended) {
            this.connection = on;
            this.stream = stream;
            this.onResponse = answered;
            this.onFailure = ended;
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

        void fail(ForwardOutcome end) {
            if (!finished) {
                remove();
                onFailure.accept(end);
            }
        }

        /** It broke off: unless its last byte was written the other side can't have begun it. */
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

    /** One connection, from its making to its end. */
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
            handshakeTimeout = loop.schedule(() -> fail("no greeting in time"), (long) (HANDSHAKE_TIMEOUT_MS * 1e6), TimeUnit.NANOSECONDS);
            if (authenticator.clientContext() == null) {
                hello();
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
            if (event instanceof SslHandshakeCompletionEvent shaken) {
                SslHandler tls = ctx.pipeline().get(SslHandler.class);
                if (!shaken.isSuccess()) {
                    fail("TLS: " + shaken.cause().getMessage());
                } else if (!DatacenterAuthenticator.certificateNames(tls.engine().getSession()).contains(peerDatacenter)) {
                    fail("its certificate is not of " + peerDatacenter);
                } else {
                    hello();
                }
            }
            super.userEventTriggered(ctx, event);
        }

        private void hello() {
            String nonce = authenticator.nonce();
            startExchange(DatacenterWire.request(DatacenterWire.HELLO).set(DatacenterWire.VERSION, DatacenterWire.THIS_VERSION).set(DatacenterWire.DATACENTER, ownDatacenter)
                    .set(DatacenterWire.NONCE, nonce), null, (h, content) -> helloAnswered(nonce, h), end -> fail("no greeting"));
        }

        private void helloAnswered(String nonce, Http2Headers h) {
            String theirs = DatacenterWire.text(h, DatacenterWire.NONCE);
            if (!"200".equals(String.valueOf(h.status())) || !peerDatacenter.equals(DatacenterWire.text(h, DatacenterWire.DATACENTER)) || theirs == null) {
                fail("it is not " + peerDatacenter + ": status " + h.status() + ", " + DatacenterWire.text(h, DatacenterWire.DATACENTER));
            } else if (!authenticator.usesSharedKey()) {
                handshakeCompleted();
            } else if (!DatacenterAuthenticator.constantTimeEquals(String.valueOf(DatacenterWire.text(h, DatacenterWire.PROOF_VALUE)),
                    authenticator.proof("answer", ownDatacenter, peerDatacenter, nonce, theirs))) {
                fail("it does not have the key");
            } else {
                startExchange(DatacenterWire.request(DatacenterWire.PROOF).set(DatacenterWire.PROOF_VALUE, authenticator.proof("ask", ownDatacenter, peerDatacenter, nonce, theirs)), null,
                        (answer, content) -> {
                            if ("200".equals(String.valueOf(answer.status()))) {
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

        /** It has answered where the present one has not: what that has out may still come, and nothing new goes there. */
        private void takeOver() {
            Connection before = current;
            replacements++;
            replacement = null;
            current = this;
            if (before != null) {
                before.leaving = true;
                before.ready = false;
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
                // Another has its place, and all that was out on it has ended.
                channel.close();
                return;
            }
            double now = timers.now();
            LinkHealth.State state = health.state(now);
            if (state == LinkHealth.State.DEAD) {
                fail("no answer for too long");
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
                // One that has not answered yet is not known to work.
                LinkHealth.State known = health.rttMs() == 0 ? LinkHealth.State.STALLED : state;
                if (known == LinkHealth.State.UP && !wasUp) {
                    wasUp = true;
                    Log.info("halls: link to " + peerDatacenter + " at " + gateway + " is up");
                }
                router.linkStateChanged(gateway, known, health.rttMs());
            }
        }

        Exchange startExchange(Http2Headers headers, ByteBuf body, BiConsumer<Http2Headers, Content> answered, Consumer<ForwardOutcome> ended) {
            Http2FrameStream stream = newStream();
            Exchange q = new Exchange(this, stream, answered, ended);
            exchanges.put(stream, q);
            // Stamped on all, so that the other side knows the usual from the first.
            DatacenterWire.sentAt(headers, timers.now() - openedAtMs);
            bytesOut += body == null ? 0 : body.readableBytes();
            send(stream, headers, body).addListener(f -> {
                if (f.isSuccess()) {
                    q.written = true;
                } else {
                    loop.execute(q::interrupted);
                }
            });
            return q;
        }

        @Override
        void reset(Http2ResetFrame r) {
            Exchange q = exchanges.get(r.stream());
            if (q != null && r.errorCode() == Http2Error.REFUSED_STREAM.code()) {
                // RFC 9113, section 8.7: it was not processed.
                q.fail(ForwardOutcome.UNSENT);
            } else if (q != null) {
                q.interrupted();
            }
        }

        @Override
        void headers(Http2HeadersFrame h) {
            Exchange q = exchanges.get(h.stream());
            if (q != null) {
                if (q.headers == null) {
                    q.headers = h.headers();
                }
                if (h.isEndStream()) {
                    q.complete();
                }
            }
        }

        @Override
        void data(Http2DataFrame d) {
            bytesIn += d.content().readableBytes();
            Exchange q = exchanges.get(d.stream());
            if (q != null) {
                q.data(d.content());
                if (d.isEndStream()) {
                    q.complete();
                }
            }
        }

        @Override
        void goAway(Http2GoAwayFrame g) {
            leaving = true;
            ready = false;
            if (this == current) {
                router.linkStateChanged(gateway, LinkHealth.State.STALLED, health.rttMs());
            }
            // RFC 9113, section 6.8: those above were not processed, and may go elsewhere.
            for (Exchange q : List.copyOf(exchanges.values())) {
                if (q.stream.id() > g.lastStreamId()) {
                    q.fail(ForwardOutcome.UNSENT);
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
            if (cause instanceof Http2FrameStreamException s) {
                Exchange q = exchanges.get(s.stream());
                if (q != null) {
                    q.interrupted();
                }
            } else {
                fail(String.valueOf(cause.getMessage()));
            }
        }

        private void fail(String why) {
            connectionEnded(why);
            channel.close();
        }

        private void connectionEnded(String why) {
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
            boolean present = current == this;
            if (present) {
                router.linkStateChanged(gateway, LinkHealth.State.DEAD, health.rttMs());
                if (wasUp || reconnectDelayMs == INITIAL_RECONNECT_DELAY_MS) {
                    wasUp = false;
                    Log.info("halls: no link to " + peerDatacenter + " at " + gateway + ": " + why);
                }
            }
            new ArrayList<>(exchanges.values()).forEach(Exchange::interrupted);
            if (present && replacement != null) {
                // It is under way already.
                current = replacement;
                replacement = null;
            } else if (present) {
                scheduleReconnect();
            }
        }
    }
}
