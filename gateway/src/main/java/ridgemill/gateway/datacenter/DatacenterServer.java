package ridgemill.gateway.datacenter;

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
import ridgemill.gateway.datacenter.DatacenterWire.WireException;
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
 * Accepts requests of other datacenters. Each is handled like any other request, through admission and routing, with
 * the time that its client still waits; its response also tells whether the request may have run. The work for a
 * gateway that has disconnected, or that has cancelled the request, is stopped.
 */
final class DatacenterServer {

    private static final int MAX_CONNECTIONS = 64;
    private static final int MAX_STREAMS = 50_000;
    private static final int STREAM_WINDOW_BYTES = 128 * 1024;
    private static final long HANDSHAKE_TIMEOUT_MS = 2000;
    /**
     * Gateways request the state several times a second. A connection without any message for this time is closed,
     * because nobody waits for its work any more.
     */
    private static final double IDLE_TIMEOUT_MS = 5000;
    private static final long IDLE_CHECK_INTERVAL_MS = 500;

    private final EventLoop loop;
    private final Timers timers;
    private final Intake<Content> intake;
    private final DatacenterForwarder forwarder;
    private final DatacenterRouter router;
    private final DatacenterAuthenticator authenticator;
    private final IntSupplier throttlingLevel;
    private final Set<ServerConnection> connections = new LinkedHashSet<>();
    private Channel listener;
    private boolean leaving;
    private boolean stopped;
    private long expired;

    DatacenterServer(EventLoop loop, Timers timers, Intake<Content> intake, DatacenterForwarder forwarder,
                     DatacenterRouter router, DatacenterAuthenticator authenticator, IntSupplier throttlingLevel) {
        this.loop = loop;
        this.timers = timers;
        this.intake = intake;
        this.forwarder = forwarder;
        this.router = router;
        this.authenticator = authenticator;
        this.throttlingLevel = throttlingLevel;
    }

    ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound = Transport.TCP.server(loop).childHandler(new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel c) {
                if (connections.size() >= MAX_CONNECTIONS || stopped) {
                    c.close();
                    return;
                }
                ServerConnection connection = new ServerConnection(c);
                connections.add(connection);
                if (authenticator.serverContext() != null) {
                    c.pipeline().addLast(authenticator.serverContext().newHandler(c.alloc()));
                }
                c.pipeline().addLast(Http2FrameCodecBuilder.forServer().initialSettings(Http2Settings.defaultSettings()
                        .maxConcurrentStreams(MAX_STREAMS).initialWindowSize(STREAM_WINDOW_BYTES)
                        .maxHeaderListSize(DatacenterWire.MAX_HEADER_LIST_BYTES))
                        // No limit on resets: gateways are authenticated, and cancel a request whenever its client
                        // disconnects.
                        .decoderEnforceMaxRstFramesPerWindow(0, 0).build(), connection);
            }
        }).bind(address);
        listener = bound.channel();
        loop.scheduleAtFixedRate(this::closeIdleConnections, IDLE_CHECK_INTERVAL_MS, IDLE_CHECK_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
        return bound;
    }

    /** Announces to other gateways that they should send no more requests; requests that still arrive are accepted. */
    void announceLeaving() {
        leaving = true;
    }

    /** Stops accepting connections and requests; open requests still get their responses. */
    void stop() {
        stopped = true;
        leaving = true;
        if (listener != null) {
            listener.close();
        }
        List.copyOf(connections).forEach(ServerConnection::goAway);
    }

    /** Returns the number of requests whose time was over when they arrived. */
    long expired() {
        return expired;
    }

    private void closeIdleConnections() {
        double now = timers.now();
        List.copyOf(connections).stream().filter(c -> now - c.lastReadAt > IDLE_TIMEOUT_MS).forEach(c -> {
            Log.info("halls: " + c.datacenter + " sends nothing any more; its connection is closed");
            c.channel.close();
        });
    }

    /** One connection from another gateway. */
    private final class ServerConnection extends DatacenterConnection {
        private final Channel channel;
        private final Map<Http2FrameStream, IncomingRequest> requests = new HashMap<>();
        private final TransitDelayEstimator transitDelay = new TransitDelayEstimator();
        private String datacenter;
        private String claimedDatacenter;
        private String peerNonce;
        private String ownNonce;
        private List<String> certificateNames;
        private double lastReadAt = timers.now();

        ServerConnection(Channel channel) {
            this.channel = channel;
        }

        @Override
        protected void handlerAdded0(ChannelHandlerContext ctx) {
            super.handlerAdded0(ctx);
            loop.schedule(() -> {
                if (datacenter == null) {
                    channel.close();
                }
            }, HANDSHAKE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
            if (event instanceof SslHandshakeCompletionEvent handshake) {
                if (handshake.isSuccess()) {
                    certificateNames = DatacenterAuthenticator.certificateNames(ctx.pipeline().get(SslHandler.class)
                            .engine().getSession());
                } else {
                    Log.info("halls: a gateway was not let in: " + handshake.cause().getMessage());
                    ctx.close();
                }
            }
            super.userEventTriggered(ctx, event);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            lastReadAt = timers.now();
            super.channelRead(ctx, message);
        }

        @Override
        void reset(Http2ResetFrame frame) {
            cancelled(frame.stream());
        }

        private void cancelled(Http2FrameStream stream) {
            IncomingRequest request = requests.remove(stream);
            if (request != null) {
                request.cancelled();
            }
        }

        @Override
        void headers(Http2HeadersFrame frame) {
            Http2Headers h = frame.headers();
            Http2FrameStream stream = frame.stream();
            IncomingRequest existing = requests.get(stream);
            if (existing != null) {
                // These are trailers.
                if (frame.isEndStream()) {
                    existing.bodyCompleted();
                }
                return;
            }
            String kind = String.valueOf(DatacenterWire.text(h, DatacenterWire.KIND));
            double sentAtMs = DatacenterWire.sentAt(h);
            double excessMs = Double.isNaN(sentAtMs) ? 0 : transitDelay.excessMs(sentAtMs, timers.now());
            if (datacenter == null) {
                switch (kind) {
                    case DatacenterWire.HELLO -> hello(stream, h);
                    case DatacenterWire.PROOF -> proof(stream, h);
                    default -> refusePeer(stream, "it asked before it was known");
                }
                return;
            }
            switch (kind) {
                case DatacenterWire.STATE -> respond(stream,
                        DatacenterWire.gatewayState(router.gatewayState(throttlingLevel.getAsInt(), leaving)), null);
                case DatacenterWire.KEY -> answerKeyQuery(stream, h);
                case DatacenterWire.OUTCOME -> answerOutcomeQuery(stream, h);
                case DatacenterWire.CALL -> {
                    IncomingRequest request = new IncomingRequest(this, stream, h, excessMs);
                    requests.put(stream, request);
                    if (frame.isEndStream()) {
                        request.bodyCompleted();
                    }
                }
                default -> respond(stream, DatacenterWire.rejected(400, false, false, 0, Set.of()), null);
            }
        }

        private void hello(Http2FrameStream stream, Http2Headers h) {
            String name = DatacenterWire.text(h, DatacenterWire.DATACENTER);
            String nonce = DatacenterWire.text(h, DatacenterWire.NONCE);
            if (!DatacenterWire.THIS_VERSION.equals(DatacenterWire.text(h, DatacenterWire.VERSION))) {
                refusePeer(stream, "it speaks version " + DatacenterWire.text(h, DatacenterWire.VERSION));
            } else if (name == null || nonce == null || !router.policy().gateways().containsKey(name)) {
                refusePeer(stream, "no such hall: " + name);
            } else if (authenticator.serverContext() != null
                    && (certificateNames == null || !certificateNames.contains(name))) {
                refusePeer(stream, "its certificate is not of " + name);
            } else if (claimedDatacenter != null) {
                refusePeer(stream, "it greeted twice");
            } else {
                claimedDatacenter = name;
                peerNonce = nonce;
                ownNonce = authenticator.nonce();
                if (!authenticator.usesSharedKey()) {
                    handshakeCompleted();
                }
                respond(stream, DatacenterWire.status(200).set(DatacenterWire.DATACENTER, router.policy().datacenter())
                        .set(DatacenterWire.NONCE, ownNonce)
                        .set(DatacenterWire.PROOF_VALUE,
                                authenticator.proof("answer", name, router.policy().datacenter(), peerNonce, ownNonce)),
                        null);
            }
        }

        private void proof(Http2FrameStream stream, Http2Headers h) {
            String expected = claimedDatacenter == null ? "" : authenticator.proof("ask", claimedDatacenter,
                    router.policy().datacenter(), peerNonce, ownNonce);
            if (expected.isEmpty() || !DatacenterAuthenticator.constantTimeEquals(
                    String.valueOf(DatacenterWire.text(h, DatacenterWire.PROOF_VALUE)), expected)) {
                refusePeer(stream, "it does not have the key");
                return;
            }
            handshakeCompleted();
            respond(stream, DatacenterWire.status(200), null);
        }

        private void handshakeCompleted() {
            datacenter = claimedDatacenter;
            Log.info("halls: a gateway of " + datacenter + " is connected");
        }

        /** Rejects a peer that is not authenticated; the reason is only logged and not sent. */
        private void refusePeer(Http2FrameStream stream, String reason) {
            Log.info("halls: a gateway was not let in: " + reason);
            respond(stream, DatacenterWire.rejected(403, false, false, 0, Set.of()), null);
            loop.execute(channel::close);
        }

        private void answerKeyQuery(Http2FrameStream stream, Http2Headers h) {
            try {
                respond(stream, DatacenterWire.keyStatus(router.answerKeyQuery(timers.now(),
                        DatacenterWire.queriedKey(h), datacenter, DatacenterWire.queriedWindowMs(h))), null);
            } catch (WireException e) {
                respond(stream, DatacenterWire.rejected(400, false, false, 0, Set.of()), null);
            }
        }

        private void answerOutcomeQuery(Http2FrameStream stream, Http2Headers h) {
            try {
                // Only this gateway's own records: the asking gateway queries all others itself.
                respond(stream, DatacenterWire.idempotencyRecord(intake.findLocalOutcome(DatacenterWire.queriedKey(h),
                        DatacenterWire.queriedTenant(h)), timers.now()), null);
            } catch (WireException e) {
                respond(stream, DatacenterWire.rejected(400, false, false, 0, Set.of()), null);
            }
        }

        @Override
        void data(Http2DataFrame frame) {
            IncomingRequest request = requests.get(frame.stream());
            if (request != null) {
                request.data(frame.content());
                if (frame.isEndStream()) {
                    request.bodyCompleted();
                }
            }
        }

        void respond(Http2FrameStream stream, Http2Headers headers, ByteBuf body) {
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
            connections.remove(this);
            List<IncomingRequest> cancelled = new ArrayList<>(requests.values());
            requests.clear();
            cancelled.forEach(IncomingRequest::cancelled);
            super.channelInactive(ctx);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof Http2FrameStreamException e) {
                cancelled(e.stream());
                resetStream(e.stream(), e.error());
            } else {
                ctx.close();
            }
        }
    }

    /** One request of another datacenter, until its response. */
    private final class IncomingRequest implements ResponseHandler<Content> {
        private final ServerConnection connection;
        private final Http2FrameStream stream;
        private final Http2Headers headers;
        /** How much longer its headers were in transit than the fastest recent message, and when they arrived. */
        private final double excessMs;
        private final double receivedAtMs = timers.now();
        private final MessageBody body = new MessageBody();
        private final DatacenterForwarder.RemoteRequest remoteRequest = new DatacenterForwarder.RemoteRequest();
        private String id;
        private boolean finished;

        IncomingRequest(ServerConnection connection, Http2FrameStream stream, Http2Headers headers, double excessMs) {
            this.excessMs = excessMs;
            this.connection = connection;
            this.stream = stream;
            this.headers = headers;
        }

        void data(ByteBuf bytes) {
            if (finished || id != null) {
                return;
            }
            if (!body.add(bytes)) {
                reject(413, false, 0);
            }
        }

        void bodyCompleted() {
            if (finished || id != null) {
                return;
            }
            try {
                submit(DatacenterWire.call(headers, body.content()));
            } catch (WireException e) {
                Log.info("halls: " + connection.datacenter + " sent an invalid request: " + e.getMessage());
                reject(400, false, 0);
            }
        }

        private void submit(DatacenterWire.Call call) throws WireException {
            if (!call.path().datacenters().get(call.path().datacenters().size() - 1).equals(connection.datacenter)) {
                throw new WireException("it does not come from where it says");
            }
            double remainingMs = call.remainingMs() - excessMs - (timers.now() - receivedAtMs);
            if (remainingMs <= 0) {
                expired++;
                reject(503, false, 0);
                return;
            }
            if (stopped || intake.isOpen(call.id())) {
                reject(503, false, 0);
                return;
            }
            Command<Content> command = call.command();
            String path = Targets.path(command.target());
            AdmissionController.Decision decision = intake.admit(new AdmissionController.AdmissionRequest(call.id(),
                    new RouteQuery(headers.method().toString(), path, call.tenant(), name -> null),
                    call.serviceClass(), call.retry(), command.content().bytes().readableBytes(), remainingMs));
            if (decision instanceof AdmissionController.Rejected rejected) {
                intake.countRejected(call.serviceClass());
                reject(429, false, rejected.retryAfterMs());
            } else if (decision instanceof AdmissionController.Admitted admitted) {
                if (admitted.requiresIdempotencyKey(command.write()) && command.idempotencyKey() == null) {
                    intake.withdraw(admitted, call.id());
                    reject(400, false, 0);
                    return;
                }
                id = call.id();
                remoteRequest.path = call.path();
                forwarder.addRemoteRequest(id, remoteRequest);
                intake.submit(admitted, new Request(id, admitted.serviceClass().name(), call.tenant(), Targets.hash(path),
                        call.workMs(), admitted.budgetMs(),
                        command.write(), call.retry()), command, this);
            } else {
                reject(400, false, 0);
            }
        }

        /** The sending gateway has cancelled the request or disconnected. */
        void cancelled() {
            if (!finished) {
                finished = true;
                if (id != null) {
                    forwarder.removeRemoteRequest(id);
                    intake.clientDisconnected(id);
                }
            }
        }

        private void respond(Http2Headers h, ByteBuf content) {
            if (finished) {
                ReferenceCountUtil.release(content);
                return;
            }
            finished = true;
            connection.requests.remove(stream);
            if (id != null) {
                forwarder.removeRemoteRequest(id);
            }
            connection.respond(stream, h, content);
        }

        private void reject(int status, boolean mayHaveRun, double retryAfterMs) {
            RoutedRequest routed = remoteRequest.routed;
            respond(DatacenterWire.rejected(status, mayHaveRun, routed != null
                    && routed.mayBeInProgress(), retryAfterMs,
                    routed == null ? Set.of() : routed.enteredDatacenters()), null);
        }

        @Override
        public void served(NodeResponse<Content> response) {
            respond(DatacenterWire.served(response.content()), response.content().bytes().retain());
        }

        @Override
        public void recorded(String call) {
            respond(DatacenterWire.recorded(call), null);
        }

        @Override
        public void conflict() {
            respond(DatacenterWire.conflict(), null);
        }

        @Override
        public void refused(double retryAfterMs) {
            reject(503, false, retryAfterMs);
        }

        @Override
        public void refusedMayHaveRun(double retryAfterMs) {
            reject(503, true, retryAfterMs);
        }

        @Override
        public void limited(double retryAfterMs) {
            reject(429, false, retryAfterMs);
        }

        @Override
        public void failed() {
            reject(502, true, 0);
        }
    }
}
