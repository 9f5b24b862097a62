package ridgemill.gateway.halls;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http2.DefaultHttp2GoAwayFrame;
import io.netty.handler.codec.http2.Http2DataFrame;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2FrameStream;
import io.netty.handler.codec.http2.Http2FrameStreamException;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2HeadersFrame;
import io.netty.handler.codec.http2.Http2ResetFrame;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.handler.ssl.SslHandler;
import io.netty.handler.ssl.SslHandshakeCompletionEvent;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import ridgemill.core.NodeResponse;
import ridgemill.core.ResponseHandler;
import ridgemill.core.Command;
import ridgemill.core.AdmissionController;
import ridgemill.core.Intake;
import ridgemill.core.Timers;
import ridgemill.gateway.halls.HallWire.WireException;
import ridgemill.gateway.net.Content;
import ridgemill.gateway.net.Log;
import ridgemill.gateway.net.Targets;
import ridgemill.gateway.net.Transport;
import ridgemill.datacenter.DatacenterRouter;
import ridgemill.datacenter.RoutedRequest;
import ridgemill.datacenter.TransitDelayEstimator;
import ridgemill.policy.Router.Request;
import ridgemill.route.RouteQuery;

/**
 * Takes other halls' requests in. Each goes the way of any request from here on, through the gate and the decisions, with
 * the time that its client has left; its answer says besides whether it may have run. Work for a gateway that has gone, or
 * that has left it, is stopped.
 */
final class HallFront {

    private static final int MOST_CONNECTIONS = 64;
    private static final int MOST_STREAMS = 50_000;
    private static final int STREAM_WINDOW = 128 * 1024;
    private static final long PROOF_MS = 2000;
    /** Gateways ask for the state several times a second: one that does not is cut off, and its work goes on for nobody. */
    private static final double SILENCE_MS = 5000;
    private static final long SWEEP_MS = 500;

    private final EventLoop loop;
    private final Timers timers;
    private final Intake<Content> intake;
    private final HallCrossings crossings;
    private final DatacenterRouter halls;
    private final HallKeys keys;
    private final IntSupplier level;
    private final Set<Door> doors = new LinkedHashSet<>();
    private Channel listener;
    private boolean leaving;
    private boolean stopped;
    private long expired;

    HallFront(EventLoop loop, Timers timers, Intake<Content> intake, HallCrossings crossings, DatacenterRouter halls, HallKeys keys,
              IntSupplier level) {
        this.loop = loop;
        this.timers = timers;
        this.intake = intake;
        this.crossings = crossings;
        this.halls = halls;
        this.keys = keys;
        this.level = level;
    }

    ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound = Transport.TCP.server(loop).childHandler(new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel c) {
                if (doors.size() >= MOST_CONNECTIONS || stopped) {
                    c.close();
                    return;
                }
                Door door = new Door(c);
                doors.add(door);
                if (keys.server() != null) {
                    c.pipeline().addLast(keys.server().newHandler(c.alloc()));
                }
                c.pipeline().addLast(Http2FrameCodecBuilder.forServer().initialSettings(Http2Settings.defaultSettings()
                        .maxConcurrentStreams(MOST_STREAMS).initialWindowSize(STREAM_WINDOW).maxHeaderListSize(HallWire.MOST_HEAD))
                        // Gateways are known, and cancel as often as clients leave them.
                        .decoderEnforceMaxRstFramesPerWindow(0, 0).build(), door);
            }
        }).bind(address);
        listener = bound.channel();
        loop.scheduleAtFixedRate(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
        return bound;
    }

    /** Other gateways are asked to send nothing more; what comes nevertheless is still taken. */
    void leave() {
        leaving = true;
    }

    /** Nothing more is taken; what is open is answered. */
    void stop() {
        stopped = true;
        leaving = true;
        if (listener != null) {
            listener.close();
        }
        List.copyOf(doors).forEach(Door::goAway);
    }

    /** Requests that were too old when they came. */
    long expired() {
        return expired;
    }

    private void sweep() {
        double now = timers.now();
        List.copyOf(doors).stream().filter(d -> now - d.heardAt > SILENCE_MS).forEach(d -> {
            Log.info("halls: " + d.hall + " has gone silent");
            d.channel.close();
        });
    }

    /** One connection from another gateway. */
    private final class Door extends HallConnection {
        private final Channel channel;
        private final Map<Http2FrameStream, In> open = new HashMap<>();
        private final TransitDelayEstimator transit = new TransitDelayEstimator();
        private String hall;
        private String greeted;
        private String theirNonce;
        private String ourNonce;
        private List<String> certified;
        private double heardAt = timers.now();

        Door(Channel channel) {
            this.channel = channel;
        }

        @Override
        protected void handlerAdded0(ChannelHandlerContext ctx) {
            super.handlerAdded0(ctx);
            loop.schedule(() -> {
                if (hall == null) {
                    channel.close();
                }
            }, PROOF_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
            if (event instanceof SslHandshakeCompletionEvent shaken) {
                if (shaken.isSuccess()) {
                    certified = HallKeys.names(ctx.pipeline().get(SslHandler.class).engine().getSession());
                } else {
                    Log.info("halls: a gateway was not let in: " + shaken.cause().getMessage());
                    ctx.close();
                }
            }
            super.userEventTriggered(ctx, event);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            heardAt = timers.now();
            super.channelRead(ctx, message);
        }

        @Override
        void reset(Http2ResetFrame r) {
            left(r.stream());
        }

        private void left(Http2FrameStream stream) {
            In in = open.remove(stream);
            if (in != null) {
                in.left();
            }
        }

        @Override
        void headers(Http2HeadersFrame frame) {
            Http2Headers h = frame.headers();
            Http2FrameStream stream = frame.stream();
            In known = open.get(stream);
            if (known != null) {
                // Trailers.
                if (frame.isEndStream()) {
                    known.whole();
                }
                return;
            }
            String kind = String.valueOf(HallWire.text(h, HallWire.KIND));
            double stamp = HallWire.stamp(h);
            double excess = Double.isNaN(stamp) ? 0 : transit.excessMs(stamp, timers.now());
            if (hall == null) {
                switch (kind) {
                    case HallWire.HELLO -> hello(stream, h);
                    case HallWire.PROOF -> proof(stream, h);
                    default -> refuseDoor(stream, "it asked before it was known");
                }
                return;
            }
            switch (kind) {
                case HallWire.STATE -> answer(stream, HallWire.state(halls.gatewayState(level.getAsInt(), leaving)), null);
                case HallWire.KEY -> key(stream, h);
                case HallWire.OUTCOME -> outcome(stream, h);
                case HallWire.CALL -> {
                    In in = new In(this, stream, h, excess);
                    open.put(stream, in);
                    if (frame.isEndStream()) {
                        in.whole();
                    }
                }
                default -> answer(stream, HallWire.turnedAway(400, false, false, 0, Set.of()), null);
            }
        }

        private void hello(Http2FrameStream stream, Http2Headers h) {
            String name = HallWire.text(h, HallWire.HALL);
            String nonce = HallWire.text(h, HallWire.NONCE);
            if (!HallWire.THIS_VERSION.equals(HallWire.text(h, HallWire.VERSION))) {
                refuseDoor(stream, "it speaks version " + HallWire.text(h, HallWire.VERSION));
            } else if (name == null || nonce == null || !halls.policy().gateways().containsKey(name)) {
                refuseDoor(stream, "no such hall: " + name);
            } else if (keys.server() != null && (certified == null || !certified.contains(name))) {
                refuseDoor(stream, "its certificate is not of " + name);
            } else if (greeted != null) {
                refuseDoor(stream, "it greeted twice");
            } else {
                greeted = name;
                theirNonce = nonce;
                ourNonce = keys.nonce();
                if (!keys.hasKey()) {
                    known();
                }
                answer(stream, HallWire.status(200).set(HallWire.HALL, halls.policy().datacenter()).set(HallWire.NONCE, ourNonce)
                        .set(HallWire.PROVES, keys.proof("answer", name, halls.policy().datacenter(), theirNonce, ourNonce)), null);
            }
        }

        private void proof(Http2FrameStream stream, Http2Headers h) {
            String expected = greeted == null ? "" : keys.proof("ask", greeted, halls.policy().datacenter(), theirNonce, ourNonce);
            if (expected.isEmpty() || !HallKeys.isSame(String.valueOf(HallWire.text(h, HallWire.PROVES)), expected)) {
                refuseDoor(stream, "it does not have the key");
                return;
            }
            known();
            answer(stream, HallWire.status(200), null);
        }

        private void known() {
            hall = greeted;
            Log.info("halls: a gateway of " + hall + " is connected");
        }

        /** One that is not known hears no more than that. */
        private void refuseDoor(Http2FrameStream stream, String why) {
            Log.info("halls: a gateway was not let in: " + why);
            answer(stream, HallWire.turnedAway(403, false, false, 0, Set.of()), null);
            loop.execute(channel::close);
        }

        private void key(Http2FrameStream stream, Http2Headers h) {
            try {
                answer(stream, HallWire.word(halls.answerKeyQuery(timers.now(), HallWire.askedKey(h), hall, HallWire.askedWindow(h))), null);
            } catch (WireException e) {
                answer(stream, HallWire.turnedAway(400, false, false, 0, Set.of()), null);
            }
        }

        private void outcome(Http2FrameStream stream, Http2Headers h) {
            try {
                // What this hall's gateway knows by itself: whoever asks asks all.
                answer(stream, HallWire.known(intake.findLocalOutcome(HallWire.askedKey(h), HallWire.askedTenant(h)), timers.now()), null);
            } catch (WireException e) {
                answer(stream, HallWire.turnedAway(400, false, false, 0, Set.of()), null);
            }
        }

        @Override
        void data(Http2DataFrame d) {
            In in = open.get(d.stream());
            if (in != null) {
                in.data(d.content());
                if (d.isEndStream()) {
                    in.whole();
                }
            }
        }

        void answer(Http2FrameStream stream, Http2Headers headers, ByteBuf body) {
            if (!channel.isActive()) {
                ReferenceCountUtil.release(body);
                return;
            }
            send(stream, headers, body);
        }

        void goAway() {
            write(new DefaultHttp2GoAwayFrame(Http2Error.NO_ERROR));
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) throws Exception {
            doors.remove(this);
            List<In> left = new ArrayList<>(open.values());
            open.clear();
            left.forEach(In::left);
            super.channelInactive(ctx);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof Http2FrameStreamException s) {
                left(s.stream());
                end(s.stream(), s.error());
            } else {
                ctx.close();
            }
        }
    }

    /** One request of another hall, until its answer. */
    private final class In implements ResponseHandler<Content> {
        private final Door door;
        private final Http2FrameStream stream;
        private final Http2Headers headers;
        /** How much longer its head was on its way than the quickest of late, and when it was here. */
        private final double excessMs;
        private final double sinceMs = timers.now();
        private final HallBody body = new HallBody();
        private final HallCrossings.Foreign foreign = new HallCrossings.Foreign();
        private String id;
        private boolean over;

        In(Door door, Http2FrameStream stream, Http2Headers headers, double excessMs) {
            this.excessMs = excessMs;
            this.door = door;
            this.stream = stream;
            this.headers = headers;
        }

        void data(ByteBuf bytes) {
            if (over || id != null) {
                return;
            }
            if (!body.add(bytes)) {
                turnAway(413, false, 0);
            }
        }

        void whole() {
            if (over || id != null) {
                return;
            }
            try {
                begin(HallWire.call(headers, body.content()));
            } catch (WireException e) {
                Log.info("halls: " + door.hall + " sent what makes no sense: " + e.getMessage());
                turnAway(400, false, 0);
            }
        }

        private void begin(HallWire.Call call) throws WireException {
            if (!call.trail().datacenters().get(call.trail().datacenters().size() - 1).equals(door.hall)) {
                throw new WireException("it does not come from where it says");
            }
            double left = call.leftMs() - excessMs - (timers.now() - sinceMs);
            if (left <= 0) {
                expired++;
                turnAway(503, false, 0);
                return;
            }
            if (stopped || intake.isOpen(call.id())) {
                turnAway(503, false, 0);
                return;
            }
            Command<Content> command = call.command();
            String path = Targets.path(command.target());
            AdmissionController.Decision entry = intake.admit(new AdmissionController.AdmissionRequest(call.id(), new RouteQuery(headers.method().toString(), path, call.tenant(),
                    name -> null), call.service(), call.again(), command.content().bytes().readableBytes(), left));
            if (entry instanceof AdmissionController.Rejected refuse) {
                intake.countRejected(call.service());
                turnAway(429, false, refuse.retryAfterMs());
            } else if (entry instanceof AdmissionController.Admitted go) {
                if (go.requiresIdempotencyKey(command.write()) && command.idempotencyKey() == null) {
                    intake.withdraw(go, call.id());
                    turnAway(400, false, 0);
                    return;
                }
                id = call.id();
                foreign.trail = call.trail();
                crossings.foreign(id, foreign);
                intake.submit(go, new Request(id, go.service().name(), call.tenant(), Targets.hash(path), call.workMs(), go.budgetMs(),
                        command.write(), call.again()), command, this);
            } else {
                turnAway(400, false, 0);
            }
        }

        /** Who sent it has left it, or has gone. */
        void left() {
            if (!over) {
                over = true;
                if (id != null) {
                    crossings.forgetForeign(id);
                    intake.clientGone(id);
                }
            }
        }

        private void answer(Http2Headers h, ByteBuf content) {
            if (over) {
                ReferenceCountUtil.release(content);
                return;
            }
            over = true;
            door.open.remove(stream);
            if (id != null) {
                crossings.forgetForeign(id);
            }
            door.answer(stream, h, content);
        }

        private void turnAway(int status, boolean mayHaveRun, double retryAfterMs) {
            RoutedRequest passing = foreign.passing;
            answer(HallWire.turnedAway(status, mayHaveRun, passing != null && passing.mayBeInProgress(), retryAfterMs,
                    passing == null ? Set.of() : passing.enteredDatacenters()), null);
        }

        @Override
        public void served(NodeResponse<Content> answer) {
            answer(HallWire.served(answer.content()), answer.content().bytes().retain());
        }

        @Override
        public void recorded(String call) {
            answer(HallWire.recorded(call), null);
        }

        @Override
        public void conflict() {
            answer(HallWire.conflict(), null);
        }

        @Override
        public void refused(double retryAfterMs) {
            turnAway(503, false, retryAfterMs);
        }

        @Override
        public void refusedMayHaveRun(double retryAfterMs) {
            turnAway(503, true, retryAfterMs);
        }

        @Override
        public void limited(double retryAfterMs) {
            turnAway(429, false, retryAfterMs);
        }

        @Override
        public void failed() {
            turnAway(502, true, 0);
        }
    }
}
