package ridgemill.gateway.halls;

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
import ridgemill.gateway.halls.HallWire.Reply;
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
final class HallLink {

    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final double HELLO_MS = 2000;
    /** For how long one is silent before another is tried. */
    private static final double RIVAL_MS = 500;
    private static final double FIRST_WAIT_MS = 100;
    private static final double MOST_WAIT_MS = 2000;
    private static final int STREAM_WINDOW = 256 * 1024;
    /** So much may be waiting to be written before nothing new goes out. */
    private static final int MOST_WAITING = 4 * 1024 * 1024;

    private final EventLoop loop;
    private final Timers timers;
    private final String hall;
    private final String name;
    private final String peerHall;
    private final InetSocketAddress address;
    private final HallKeys keys;
    private final DatacenterRouter halls;
    private final SplittableRandom random;
    private Connection current;
    /** Tried beside the present one, which does not answer; null for none. */
    private Connection rival;
    private double waitMs = FIRST_WAIT_MS;
    private boolean closed;
    private boolean wasUp;
    private long bytesOut;
    private long bytesIn;
    private long replaced;

    HallLink(EventLoop loop, Timers timers, String hall, String name, String peerHall, InetSocketAddress address, HallKeys keys,
             DatacenterRouter halls, long seed) {
        this.loop = loop;
        this.timers = timers;
        this.hall = hall;
        this.name = name;
        this.peerHall = peerHall;
        this.address = address;
        this.keys = keys;
        this.halls = halls;
        this.random = new SplittableRandom(seed ^ name.hashCode());
    }

    /** A crossing that is out. */
    interface Out {

        /** The other side is told to stop; nothing more is heard of it. */
        void cancel();
    }

    void open() {
        if (!closed) {
            current = dial();
        }
    }

    private Connection dial() {
        Connection next = new Connection();
        ChannelFuture connecting = Transport.TCP.client(loop).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(MOST_WAITING / 2, MOST_WAITING))
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel c) {
                        if (keys.client() != null) {
                            c.pipeline().addLast(keys.client().newHandler(c.alloc()));
                        }
                        c.pipeline().addLast(Http2FrameCodecBuilder.forClient().encoderEnforceMaxConcurrentStreams(false)
                                .initialSettings(Http2Settings.defaultSettings().pushEnabled(false)
                                .maxHeaderListSize(HallWire.MOST_HEAD).initialWindowSize(STREAM_WINDOW))
                                .build(), next);
                    }
                }).connect(address);
        next.channel = connecting.channel();
        connecting.addListener(f -> {
            if (!f.isSuccess()) {
                boolean refused = String.valueOf(f.cause().getMessage()).contains("refused");
                if (current == next) {
                    halls.connectionFailed(timers.now(), name, refused);
                }
                next.gone(String.valueOf(f.cause().getMessage()));
            }
        });
        return next;
    }

    void close() {
        closed = true;
        for (Connection c : new Connection[] {current, rival}) {
            if (c != null) {
                c.channel.close();
            }
        }
    }

    /** How it is, for whoever watches. */
    String explain() {
        return "link " + name + " bytes out " + bytesOut + " in " + bytesIn + " replaced " + replaced;
    }

    /** Sends a request; {@code done} is called once, and never before this returns. */
    Out call(HallWire.Call call, Consumer<Reply> done) {
        Connection c = current;
        if (c == null || !c.ready || !c.channel.isWritable()) {
            loop.execute(() -> done.accept(Reply.of(ForwardOutcome.UNSENT)));
            return () -> { };
        }
        ByteBuf body = call.command().content().bytes();
        return c.ask(HallWire.call(call), body.isReadable() ? body.retainedDuplicate() : null, (h, content) ->
                done.accept(HallWire.reply(h, content)), end -> done.accept(Reply.of(end)));
    }

    /** The least time that a message and its answer take, in milliseconds; 0 before there is any. */
    double leastMs() {
        return current == null ? 0 : current.pulse.minRttMs();
    }

    /** Asks where a key may have run; {@code done} is called once, unless the link stays silent. */
    void askKey(String key, double windowMs, Consumer<KeyStatus> done) {
        Connection c = current;
        if (c == null || !c.ready) {
            loop.execute(() -> done.accept(new Indeterminate()));
            return;
        }
        c.ask(HallWire.keyAsked(key, windowMs), null, (h, content) -> done.accept(HallWire.word(h)),
                end -> done.accept(new Indeterminate()));
    }

    /** Asks what a key came to there; {@code done} is called once with it or with null, unless the link stays silent. */
    void askOutcome(String key, String tenant, Consumer<IdempotencyRecord> done) {
        Connection c = current;
        if (c == null || !c.ready) {
            loop.execute(() -> done.accept(null));
            return;
        }
        c.ask(HallWire.outcomeAsked(key, tenant), null, (h, content) -> done.accept(HallWire.known(h, tenant, timers.now())),
                end -> done.accept(null));
    }

    /** By how much the last round trip took longer than the least, in milliseconds. */
    double excessMs() {
        return current == null ? 0 : Math.max(0, current.pulse.rttMs() - current.pulse.minRttMs());
    }

    private void again() {
        if (!closed) {
            double wait = waitMs * (0.5 + random.nextDouble() / 2);
            waitMs = Math.min(MOST_WAIT_MS, 2 * waitMs);
            loop.schedule(this::open, (long) (wait * 1e6), TimeUnit.NANOSECONDS);
        }
    }

    /** A question on its way. */
    private final class Question implements Out {
        private final Connection on;
        private final Http2FrameStream stream;
        private final BiConsumer<Http2Headers, Content> answered;
        private final Consumer<ForwardOutcome> ended;
        private boolean written;
        private boolean over;
        private Http2Headers headers;
        private final HallBody body = new HallBody();

        Question(Connection on, Http2FrameStream stream, BiConsumer<Http2Headers, Content> answered, Consumer<ForwardOutcome> ended) {
            this.on = on;
            this.stream = stream;
            this.answered = answered;
            this.ended = ended;
        }

        @Override
        public void cancel() {
            if (!over) {
                drop();
                on.end(stream, Http2Error.CANCEL);
            }
        }

        private void drop() {
            over = true;
            on.out.remove(stream);
        }

        void end(ForwardOutcome end) {
            if (!over) {
                drop();
                ended.accept(end);
            }
        }

        /** It broke off: unless its last byte was written the other side can't have begun it. */
        void broken() {
            end(written ? ForwardOutcome.LOST : ForwardOutcome.UNSENT);
        }

        void data(ByteBuf bytes) {
            if (!body.add(bytes)) {
                on.end(stream, Http2Error.CANCEL);
                end(ForwardOutcome.FAILED);
            }
        }

        void done() {
            if (!over && headers != null) {
                drop();
                answered.accept(headers, body.content());
            }
        }
    }

    /** One connection, from its making to its end. */
    private final class Connection extends HallConnection {
        private final Map<Http2FrameStream, Question> out = new HashMap<>();
        private final LinkHealth pulse = new LinkHealth();
        private final double sinceMs = timers.now();
        private Channel channel;
        private Future<?> beat;
        private Future<?> patience;
        private boolean ready;
        private boolean over;
        private boolean leaving;
        private double silentSince = Double.NaN;

        @Override
        public void channelActive(ChannelHandlerContext ctx) throws Exception {
            super.channelActive(ctx);
            patience = loop.schedule(() -> fail("no greeting in time"), (long) (HELLO_MS * 1e6), TimeUnit.NANOSECONDS);
            if (keys.client() == null) {
                hello();
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
            if (event instanceof SslHandshakeCompletionEvent shaken) {
                SslHandler tls = ctx.pipeline().get(SslHandler.class);
                if (!shaken.isSuccess()) {
                    fail("TLS: " + shaken.cause().getMessage());
                } else if (!HallKeys.names(tls.engine().getSession()).contains(peerHall)) {
                    fail("its certificate is not of " + peerHall);
                } else {
                    hello();
                }
            }
            super.userEventTriggered(ctx, event);
        }

        private void hello() {
            String nonce = keys.nonce();
            ask(HallWire.ask(HallWire.HELLO).set(HallWire.VERSION, HallWire.THIS_VERSION).set(HallWire.HALL, hall)
                    .set(HallWire.NONCE, nonce), null, (h, content) -> greeted(nonce, h), end -> fail("no greeting"));
        }

        private void greeted(String nonce, Http2Headers h) {
            String theirs = HallWire.text(h, HallWire.NONCE);
            if (!"200".equals(String.valueOf(h.status())) || !peerHall.equals(HallWire.text(h, HallWire.HALL)) || theirs == null) {
                fail("it is not " + peerHall + ": status " + h.status() + ", " + HallWire.text(h, HallWire.HALL));
            } else if (!keys.hasKey()) {
                ready();
            } else if (!HallKeys.isSame(String.valueOf(HallWire.text(h, HallWire.PROVES)),
                    keys.proof("answer", hall, peerHall, nonce, theirs))) {
                fail("it does not have the key");
            } else {
                ask(HallWire.ask(HallWire.PROOF).set(HallWire.PROVES, keys.proof("ask", hall, peerHall, nonce, theirs)), null,
                        (answer, content) -> {
                            if ("200".equals(String.valueOf(answer.status()))) {
                                ready();
                            } else {
                                fail("it does not accept our proof");
                            }
                        }, end -> fail("it does not accept our proof"));
            }
        }

        private void ready() {
            patience.cancel(false);
            ready = true;
            waitMs = FIRST_WAIT_MS;
            beat();
        }

        /** It has answered where the present one has not: what that has out may still come, and nothing new goes there. */
        private void takesOver() {
            Connection before = current;
            replaced++;
            rival = null;
            current = this;
            if (before != null) {
                before.leaving = true;
                before.ready = false;
            }
        }

        private void lookForAnother(LinkHealth.State state, double now) {
            if (state == LinkHealth.State.UP) {
                silentSince = Double.NaN;
            } else if (Double.isNaN(silentSince)) {
                silentSince = now;
            } else if (now - silentSince >= RIVAL_MS && this == current && rival == null) {
                rival = dial();
            }
        }

        private void beat() {
            if (over) {
                return;
            }
            if (this != current && this != rival && out.isEmpty()) {
                // Another has its place, and all that was out on it has ended.
                channel.close();
                return;
            }
            double now = timers.now();
            LinkHealth.State state = pulse.state(now);
            if (state == LinkHealth.State.DEAD) {
                fail("no answer for too long");
                return;
            }
            tellState(state);
            lookForAnother(state, now);
            pulse.heartbeatSent(now);
            ask(HallWire.ask(HallWire.STATE), null, (h, content) -> {
                pulse.heartbeatAnswered(timers.now());
                if (this == rival) {
                    takesOver();
                }
                tellState(pulse.state(timers.now()));
                if (this == current) {
                    halls.gatewayStateReceived(timers.now(), name, HallWire.state(h));
                }
            }, end -> { });
            beat = loop.schedule(this::beat, (long) (LinkHealth.INTERVAL_MS * 1e6), TimeUnit.NANOSECONDS);
        }

        private void tellState(LinkHealth.State state) {
            if (current == this && ready && !leaving) {
                // One that has not answered yet is not known to work.
                LinkHealth.State known = pulse.rttMs() == 0 ? LinkHealth.State.STALLED : state;
                if (known == LinkHealth.State.UP && !wasUp) {
                    wasUp = true;
                    Log.info("halls: link to " + peerHall + " at " + name + " is up");
                }
                halls.linkStateChanged(name, known, pulse.rttMs());
            }
        }

        Question ask(Http2Headers headers, ByteBuf body, BiConsumer<Http2Headers, Content> answered, Consumer<ForwardOutcome> ended) {
            Http2FrameStream stream = newStream();
            Question q = new Question(this, stream, answered, ended);
            out.put(stream, q);
            // Stamped on all, so that the other side knows the usual from the first.
            HallWire.stamp(headers, timers.now() - sinceMs);
            bytesOut += body == null ? 0 : body.readableBytes();
            send(stream, headers, body).addListener(f -> {
                if (f.isSuccess()) {
                    q.written = true;
                } else {
                    loop.execute(q::broken);
                }
            });
            return q;
        }

        @Override
        void reset(Http2ResetFrame r) {
            Question q = out.get(r.stream());
            if (q != null && r.errorCode() == Http2Error.REFUSED_STREAM.code()) {
                // RFC 9113, section 8.7: it was not processed.
                q.end(ForwardOutcome.UNSENT);
            } else if (q != null) {
                q.broken();
            }
        }

        @Override
        void headers(Http2HeadersFrame h) {
            Question q = out.get(h.stream());
            if (q != null) {
                if (q.headers == null) {
                    q.headers = h.headers();
                }
                if (h.isEndStream()) {
                    q.done();
                }
            }
        }

        @Override
        void data(Http2DataFrame d) {
            bytesIn += d.content().readableBytes();
            Question q = out.get(d.stream());
            if (q != null) {
                q.data(d.content());
                if (d.isEndStream()) {
                    q.done();
                }
            }
        }

        @Override
        void goAway(Http2GoAwayFrame g) {
            leaving = true;
            ready = false;
            if (this == current) {
                halls.linkStateChanged(name, LinkHealth.State.STALLED, pulse.rttMs());
            }
            // RFC 9113, section 6.8: those above were not processed, and may go elsewhere.
            for (Question q : List.copyOf(out.values())) {
                if (q.stream.id() > g.lastStreamId()) {
                    q.end(ForwardOutcome.UNSENT);
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) throws Exception {
            gone("the connection ended");
            super.channelInactive(ctx);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof Http2FrameStreamException s) {
                Question q = out.get(s.stream());
                if (q != null) {
                    q.broken();
                }
            } else {
                fail(String.valueOf(cause.getMessage()));
            }
        }

        private void fail(String why) {
            gone(why);
            channel.close();
        }

        private void gone(String why) {
            if (over) {
                return;
            }
            over = true;
            ready = false;
            for (Future<?> f : new Future<?>[] {beat, patience}) {
                if (f != null) {
                    f.cancel(false);
                }
            }
            if (rival == this) {
                rival = null;
            }
            boolean present = current == this;
            if (present) {
                halls.linkStateChanged(name, LinkHealth.State.DEAD, pulse.rttMs());
                if (wasUp || waitMs == FIRST_WAIT_MS) {
                    wasUp = false;
                    Log.info("halls: no link to " + peerHall + " at " + name + ": " + why);
                }
            }
            new ArrayList<>(out.values()).forEach(Question::broken);
            if (present && rival != null) {
                // It is under way already.
                current = rival;
                rival = null;
            } else if (present) {
                again();
            }
        }
    }
}
