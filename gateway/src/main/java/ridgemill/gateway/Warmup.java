package ridgemill.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
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
import java.net.InetSocketAddress;
import java.nio.channels.ClosedSelectorException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import ridgemill.core.Dispatcher;
import ridgemill.core.Intake;
import ridgemill.core.PlatformGate;
import ridgemill.gateway.back.NodePool;
import ridgemill.gateway.back.Sockets;
import ridgemill.gateway.back.http.HttpNodeConnection;
import ridgemill.gateway.front.ClientTable;
import ridgemill.gateway.front.http.HttpFront;
import ridgemill.gateway.membership.HostList;
import ridgemill.gateway.net.Clock;
import ridgemill.gateway.net.Content;
import ridgemill.gateway.net.Log;
import ridgemill.gateway.net.LogFaults;
import ridgemill.gateway.net.LoopTimers;
import ridgemill.gateway.net.Transport;
import ridgemill.policy.Decide;
import ridgemill.policy.Router.Availability;
import ridgemill.policy.Router.Effect;
import ridgemill.policy.Router.Group;
import ridgemill.policy.Router.Limits;
import ridgemill.policy.Router.ListKind;
import ridgemill.policy.Router.Node;
import ridgemill.policy.Router.Rules;
import ridgemill.policy.Router.ServiceClass;
import ridgemill.policy.Router.Settings;
import ridgemill.policy.Router.Weights;

/**
 * Runs the proxy's own path before clients come, with a proxy of its own and nothing that leaves the process. On part of
 * a core the Java machine needs seconds to load and compile it; requests that came meanwhile were all too late, and
 * what the module then learned of nodes and origin was learned of us. The loop that runs it never rests, so it looks at the
 * time itself: on one core no other thread is sure to be run meanwhile, whatever it waits for.
 */
final class Warmup {

    /** A bound on memory and time where nothing else ends it. */
    private static final long GIVE_UP_MS = 20_000;
    /** Requests between two looks at the time and at what peers say. */
    private static final int ROUND = 50;
    private static final int AT_ONCE = 4;
    private static final int NODES = 4;
    /** One of so many requests is a miss at its cache node. */
    private static final int MISS = 4;
    private static final double CONNECT_MS = 1000;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, LocalIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final CountDownLatch done = new CountDownLatch(1);
    private final Settings settings;
    private final WarmupEnd end;
    private final PeerEar ear;
    private long began;
    private int sent;
    private volatile int served;

    private Warmup(Settings settings, WarmupEnd end, PeerEar ear) {
        this.settings = settings;
        this.end = end;
        this.ear = ear;
    }

    /** Returns how many requests were answered, when it has run long enough; a fault in it costs its gain alone. */
    static int run(Settings settings, InetSocketAddress peerListen) throws IOException, InterruptedException {
        return run(settings, peerListen, WarmupEnd.usual());
    }

    static int run(Settings settings, InetSocketAddress peerListen, WarmupEnd end) throws IOException, InterruptedException {
        PeerEar ear = new PeerEar(peerListen);
        Warmup warmup = new Warmup(settings, end, ear);
        try (ear) {
            warmup.start();
            // The loop ends it. This thread may not get to run before the loop rests, which in a warm-up it never does.
            warmup.done.await(GIVE_UP_MS, TimeUnit.MILLISECONDS);
            Log.info("warmed up with " + warmup.served + " requests");
            return warmup.served;
        } finally {
            warmup.group.shutdownGracefully(0, 0, TimeUnit.SECONDS).await(1, TimeUnit.SECONDS);
        }
    }

    /** Settings under which it runs where there is no configuration, as when the class archive is made. */
    static Settings anySettings() {
        return new Settings(0, 1, "", 1,
                List.of(new ServiceClass("read", 500, 0, 1500, 1, 0, Effect.SAFE, Group.ALL, 0, false)), List.of(), 1,
                false, new Limits(NODES, true, false, false, true, 1000, false, CONNECT_MS),
                new Rules(0, 1, 0, 1, 1000, 0, 0), false, Weights.NONE, "origin");
    }

    private void start() throws InterruptedException {
        NodePool pool = new NodePool(loop, Transport.IN_PROCESS, HttpNodeConnection::new, CONNECT_MS,
                settings.connections().idleMs(), new Sockets(NODES * AT_ONCE));
        LoopTimers timers = new LoopTimers(loop, new Clock());
        Intake<Content> intake = new Intake<>(timers, new PlatformGate(settings));
        Dispatcher<Content> dispatcher = new Dispatcher<>(timers, settings, new Decide(settings, 0), pool, new LogFaults(),
                intake::settled, AT_ONCE + 1);
        intake.group(Intake.PLATFORM, dispatcher);
        HttpFront clients = new HttpFront(loop, intake, new ClientTable(2 * AT_ONCE, () -> Integer.MAX_VALUE));
        LocalAddress front = new LocalAddress("warm-up");
        List<HostList.Host> hosts = new ArrayList<>();
        for (int i = 0; i <= NODES; i++) {
            LocalAddress address = new LocalAddress("warm-up-" + i);
            boolean origin = i == NODES && settings.originModel() != null;
            node(address, origin, i % 2 == 0);
            hosts.add(new HostList.Host(new Node("warm-up-" + i, origin ? settings.originModel() : "", settings.zone(), 0,
                    1, 0, Availability.UP), address));
        }
        loop.submit(() -> {
            HostList list = new HostList(1, true, hosts);
            dispatcher.start();
            pool.list(list);
            dispatcher.nodes(ListKind.FULL, list.version(), list.nodes());
        }).sync();
        clients.listen(Transport.IN_PROCESS, front).sync();
        began = System.nanoTime();
        for (int i = 0; i < AT_ONCE; i++) {
            client(front);
        }
    }

    private void node(LocalAddress address, boolean origin, boolean whole) throws InterruptedException {
        Transport.IN_PROCESS.server(loop)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(Content.MAX_BYTES),
                                new Answers(origin, whole));
                    }
                }).bind(address).sync();
    }

    private void answered() {
        // Written by the loop alone.
        int next = served + 1;
        served = next;
    }

    private void client(LocalAddress front) {
        Transport.IN_PROCESS.client(loop).handler(new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(Content.MAX_BYTES),
                        new Asks());
            }
        }).connect(front);
    }

    /**
     * A node that has most keys, or the origin, which has all. Over a queue inside the process an answer comes in as many
     * pieces as Netty writes, where a socket brings it in one; so every other node's are put into one, and both of the
     * ways in which answers are read get warm.
     */
    private static final class Answers extends SimpleChannelInboundHandler<FullHttpRequest> {
        private static final byte[] BODY = new byte[1000];
        private final boolean origin;
        private final boolean whole;

        Answers(boolean origin, boolean whole) {
            this.origin = origin;
            this.whole = whole;
        }

        private static ByteBuf inOnePiece(ChannelHandlerContext ctx, boolean miss) {
            ByteBuf out = ctx.alloc().buffer();
            ByteBufUtil.writeAscii(out, "HTTP/1.1 " + (miss ? "404 Not Found" : "200 OK") + "\r\ncontent-length: "
                    + (miss ? 0 : BODY.length) + "\r\nX-Hit: " + (miss ? "miss" : "hit") + "\r\n\r\n");
            return miss ? out : out.writeBytes(BODY);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            boolean miss = !origin && request.uri().hashCode() % MISS == 0;
            if (whole) {
                ByteBuf answer = inOnePiece(ctx, miss);
                // Past the codec, which stands before this.
                ChannelHandlerContext first = ctx.pipeline().firstContext();
                ctx.executor().execute(() -> first.writeAndFlush(answer));
                return;
            }
            FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                    miss ? HttpResponseStatus.NOT_FOUND : HttpResponseStatus.OK,
                    miss ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(BODY));
            answer.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, answer.content().readableBytes())
                    .set("X-Hit", miss ? "miss" : "hit");
            // Not from within the read: the answer would overtake the end of the write that asked for it.
            ctx.executor().execute(() -> ctx.writeAndFlush(answer));
        }
    }

    /** A client that asks again as soon as it has its answer, and comes back on a new connection if need be. */
    private final class Asks extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ask(ctx);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            if (answer.status().equals(HttpResponseStatus.OK)) {
                answered();
            }
            if (done.getCount() > 0 && !ends()) {
                ask(ctx);
            }
        }

        /** Looks at the time on the loop itself, at the end of each round. */
        private boolean ends() {
            if (sent % ROUND != 0) {
                return false;
            }
            boolean over = end.over(sent, TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - began) / 1000.0, peersServe());
            if (over) {
                done.countDown();
            }
            return over;
        }

        private boolean peersServe() {
            try {
                return ear.heard(0);
            } catch (IOException | ClosedSelectorException e) {
                return false;
            }
        }

        private void ask(ChannelHandlerContext ctx) {
            int number = sent++;
            FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                    "/api/warm-up-" + number % 512);
            request.headers().set(HttpHeaderNames.HOST, "service.internal").set("X-Call-Id", "warm-up-" + number)
                    .set("X-Call-Class", settings.classes().get(number % settings.classes().size()).name())
                    .set("X-Caller", "warm-up").set("X-Budget", "1.000");
            ctx.writeAndFlush(request);
        }
    }
}
