package ridgemill.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.ClosedSelectorException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import ridgemill.core.Dispatcher;
import ridgemill.core.Intake;
import ridgemill.core.PlatformAdmissionController;
import ridgemill.gateway.back.NodeConnectionPool;
import ridgemill.gateway.back.ConnectionLimit;
import ridgemill.gateway.back.http.HttpNodeConnection;
import ridgemill.gateway.front.ClientTable;
import ridgemill.gateway.front.http.HttpFrontend;
import ridgemill.gateway.membership.HostList;
import ridgemill.gateway.net.Clock;
import ridgemill.gateway.net.Content;
import ridgemill.gateway.net.Log;
import ridgemill.gateway.net.LogFaults;
import ridgemill.gateway.net.LoopGroup;
import ridgemill.gateway.net.LoopTimers;
import ridgemill.gateway.net.SocketKind;
import ridgemill.gateway.net.Transport;
import ridgemill.policy.BalancingRouter;
import ridgemill.policy.Router.Availability;
import ridgemill.policy.Router.ListUpdateKind;
import ridgemill.policy.Router.Node;
import ridgemill.policy.Router.Settings;

/**
 * Warms up the request path before clients connect, with a separate proxy and without traffic that leaves the process.
 *
 * <p>On a fraction of a core the JVM needs seconds to load and compile the request path. Without a warm-up all requests
 * in that time were late, and the routing policy attributed the delay to the nodes and the origin.
 *
 * <p>The event loop that runs the warm-up pauses only between rounds, and checks the elapsed time itself then: on one
 * core no other thread is sure to be scheduled during a round.
 */
final class Warmup {

    /** Limit of the time that a start waits, in case a fault keeps the event loop from ending the warm-up. */
    private static final long TIMEOUT_MS = 20_000;
    /** Requests between two pauses. The elapsed time and messages from peers are checked at each pause. */
    private static final int REQUESTS_PER_ROUND = 50;
    /**
     * Pause after each round. It lets the proxy's own event loop receive from discovery even if both share one core.
     */
    private static final long PAUSE_MS = 1;
    /** Concurrent clients, each with one request at a time. */
    private static final int CLIENTS = 4;
    private static final int NODES = 4;
    /** Capacity of the client table. Idle clients that filled a quarter of it would have their connections closed. */
    private static final int MAX_CLIENT_CONNECTIONS = 8 * CLIENTS;
    /** One request in this number is a miss at its cache node. */
    private static final int MISS = 4;
    private static final double CONNECT_TIMEOUT_MS = 1000;

    private final Transport transport;
    private final LoopGroup group;
    private final EventLoop loop;
    private final CountDownLatch done = new CountDownLatch(1);
    private final Settings settings;
    private final WarmupStopCondition stopCondition;
    private final PeerDetector peerDetector;
    private final List<ClientHandler> pausedClients = new ArrayList<>();
    private long startNanos;
    private int sent;
    private int pending;
    private int roundEnd = REQUESTS_PER_ROUND;
    private boolean pauseScheduled;
    private volatile int served;

    private Warmup(Transport transport, Settings settings, WarmupStopCondition stopCondition,
            PeerDetector peerDetector) {
        this.transport = transport;
        this.group = new LoopGroup(1, transport == Transport.IN_PROCESS ? LocalIoHandler.newFactory()
                : SocketKind.chosen().handlers());
        this.loop = group.next();
        this.settings = settings;
        this.stopCondition = stopCondition;
        this.peerDetector = peerDetector;
    }

    /**
     * Runs the warm-up inside the process. A fault during the warm-up only reduces its effect.
     *
     * @param peerListen where messages from peers arrive, or null
     * @param replacesOther whether this process replaces another process of this proxy
     * @return number of requests that were answered
     */
    static int run(Settings settings, InetSocketAddress peerListen, boolean replacesOther)
            throws IOException, InterruptedException {
        return run(Transport.IN_PROCESS, settings, peerListen,
                replacesOther ? WarmupStopCondition.forSuccessor() : WarmupStopCondition.standard());
    }

    /** Runs the warm-up over the given transport until the given condition holds. */
    static int run(Transport transport, Settings settings, InetSocketAddress peerListen,
            WarmupStopCondition stopCondition) throws IOException, InterruptedException {
        PeerDetector peerDetector = new PeerDetector(peerListen);
        Warmup warmup = new Warmup(transport, settings, stopCondition, peerDetector);
        try (peerDetector) {
            warmup.start();
            // The event loop ends the warm-up: this thread may not be scheduled before the loop pauses.
            warmup.done.await(TIMEOUT_MS, TimeUnit.MILLISECONDS);
            Log.info("warmed up with " + warmup.served + " requests");
            return warmup.served;
        } finally {
            warmup.group.shutdownGracefully(0, 0, TimeUnit.SECONDS).await(1, TimeUnit.SECONDS);
        }
    }

    private void start() throws InterruptedException {
        NodeConnectionPool pool = new NodeConnectionPool(loop, transport, HttpNodeConnection::new, CONNECT_TIMEOUT_MS,
                settings.connectionCosts().idleTimeoutMs(), new ConnectionLimit(NODES * CLIENTS));
        LoopTimers timers = new LoopTimers(loop, new Clock());
        Intake<Content> intake = new Intake<>(timers, new PlatformAdmissionController(settings));
        Dispatcher<Content> dispatcher = new Dispatcher<>(timers, settings, new BalancingRouter(settings, 0), pool,
                new LogFaults(), intake::requestFinished, CLIENTS + 1);
        intake.addGroup(Intake.PLATFORM_GROUP, dispatcher);
        HttpFrontend clients = new HttpFrontend(loop, intake,
                new ClientTable(MAX_CLIENT_CONNECTIONS, () -> Integer.MAX_VALUE));
        List<HostList.Host> hosts = new ArrayList<>();
        for (int i = 0; i <= NODES; i++) {
            boolean origin = i == NODES && settings.originModel() != null;
            SocketAddress address = startNode(listenAddress(), origin, i % 2 == 0);
            hosts.add(new HostList.Host(new Node("warm-up-" + i, origin ? settings.originModel() : "", settings.zone(),
                    0, 1, 0, Availability.UP), address));
        }
        loop.submit(() -> {
            HostList list = new HostList(1, true, hosts);
            dispatcher.start();
            pool.applyHostList(list);
            dispatcher.updateNodes(ListUpdateKind.FULL, list.version(), list.nodes());
        }).sync();
        SocketAddress frontendAddress = clients.listen(transport, listenAddress()).sync().channel().localAddress();
        startNanos = System.nanoTime();
        for (int i = 0; i < CLIENTS; i++) {
            connectClient(frontendAddress);
        }
    }

    /** An unused address. The address of an earlier warm-up of this process may not be released yet. */
    private SocketAddress listenAddress() {
        return transport == Transport.IN_PROCESS ? LocalAddress.ANY
                : new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    private SocketAddress startNode(SocketAddress address, boolean origin, boolean singleBuffer)
            throws InterruptedException {
        return transport.server(loop)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(Content.MAX_BYTES),
                                new NodeHandler(origin, singleBuffer));
                    }
                }).bind(address).sync().channel().localAddress();
    }

    private void countServed() {
        // Only the event loop writes this field.
        int next = served + 1;
        served = next;
    }

    private void connectClient(SocketAddress address) {
        transport.client(loop).handler(new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(Content.MAX_BYTES),
                        new ClientHandler());
            }
        }).connect(address);
    }

    /**
     * A cache node that has most keys, or the origin, which has all of them. Over the in-process transport a response
     * arrives in as many buffers as Netty writes, while a socket delivers it in one. Every second node therefore sends
     * its responses as single buffers, so that both ways of reading responses are warmed up.
     */
    private static final class NodeHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private static final byte[] BODY = new byte[1000];
        private final boolean origin;
        private final boolean singleBuffer;

        NodeHandler(boolean origin, boolean singleBuffer) {
            this.origin = origin;
            this.singleBuffer = singleBuffer;
        }

        private static ByteBuf encodeResponse(ChannelHandlerContext ctx, boolean miss) {
            ByteBuf out = ctx.alloc().buffer();
            ByteBufUtil.writeAscii(out, "HTTP/1.1 " + (miss ? "404 Not Found" : "200 OK") + "\r\ncontent-length: "
                    + (miss ? 0 : BODY.length) + "\r\nX-Hit: " + (miss ? "miss" : "hit") + "\r\n\r\n");
            return miss ? out : out.writeBytes(BODY);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            boolean miss = !origin && request.uri().hashCode() % MISS == 0;
            if (singleBuffer) {
                ByteBuf response = encodeResponse(ctx, miss);
                // Bypasses the codec, which is the first handler of the pipeline.
                ChannelHandlerContext first = ctx.pipeline().firstContext();
                ctx.executor().execute(() -> first.writeAndFlush(response));
                return;
            }
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                    miss ? HttpResponseStatus.NOT_FOUND : HttpResponseStatus.OK,
                    miss ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(BODY));
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
                    .set("X-Hit", miss ? "miss" : "hit");
            // Not from within the read: the response would arrive before the write of its request is complete.
            ctx.executor().execute(() -> ctx.writeAndFlush(response));
        }
    }

    /**
     * Pauses all clients between two rounds. The event loop is idle then, and checks the elapsed time before it
     * continues.
     */
    private void pause() {
        loop.schedule(() -> {
            pauseScheduled = false;
            double elapsedMs = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos) / 1000.0;
            List<ClientHandler> clients = List.copyOf(pausedClients);
            if (clients.isEmpty() || stopCondition.shouldStop(sent, elapsedMs, peersServe())) {
                done.countDown();
                return;
            }
            pausedClients.clear();
            roundEnd = sent + REQUESTS_PER_ROUND;
            clients.forEach(ClientHandler::sendRequest);
        }, PAUSE_MS, TimeUnit.MILLISECONDS);
    }

    private boolean peersServe() {
        try {
            return peerDetector.hasMessage(0);
        } catch (IOException | ClosedSelectorException e) {
            return false;
        }
    }

    /** A client that sends its next request as soon as it has received a response, until the round ends. */
    private final class ClientHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        private ChannelHandlerContext context;
        private boolean waiting;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            context = ctx;
            sendRequest();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (response.status().equals(HttpResponseStatus.OK)) {
                countServed();
            }
            requestEnded();
            if (sent < roundEnd) {
                sendRequest();
            } else {
                pausedClients.add(this);
            }
            pauseIfAllPaused();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            requestEnded();
            pausedClients.remove(this);
            pauseIfAllPaused();
        }

        private void pauseIfAllPaused() {
            if (pending == 0 && !pauseScheduled) {
                pauseScheduled = true;
                pause();
            }
        }

        private void requestEnded() {
            pending -= waiting ? 1 : 0;
            waiting = false;
        }

        private void sendRequest() {
            int number = sent++;
            pending++;
            waiting = true;
            FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                    "/api/warm-up-" + number % 512);
            request.headers().set(HttpHeaderNames.HOST, "service.internal").set("X-Call-Id", "warm-up-" + number)
                    .set("X-Call-Class", settings.classes().get(number % settings.classes().size()).name())
                    .set("X-Caller", "warm-up").set("X-Budget", "1.000");
            context.writeAndFlush(request);
        }
    }
}
