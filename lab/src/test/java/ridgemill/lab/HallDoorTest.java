package ridgemill.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http2.DefaultHttp2DataFrame;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.DefaultHttp2HeadersFrame;
import io.netty.handler.codec.http2.DefaultHttp2ResetFrame;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2ChannelDuplexHandler;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2FrameStream;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2HeadersFrame;
import io.netty.handler.codec.http2.Http2ResetFrame;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import ridgemill.lab.TwoHalls.Hall;
import ridgemill.lab.TwoHalls.Plan;
import ridgemill.testbed.load.LoadProfile;

/** What a gateway's door for other halls makes of peers that say the wrong things: nothing of it reaches a node. */
class HallDoorTest {

    @TempDir
    private Path directory;
    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private TwoHalls halls;
    private Hall hall;
    private int ids;

    @BeforeEach
    void start() throws Exception {
        halls = new TwoHalls(Plan.USUAL.gateways(1).security("security = \"none\"\n"), LoadProfile.USUAL, directory);
        hall = halls.hall(1);
    }

    @AfterEach
    void stop() {
        halls.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** A peer that writes whatever it is told. */
    private final class Peer extends Http2ChannelDuplexHandler {
        private final Map<Http2FrameStream, BlockingQueue<String>> answers = new ConcurrentHashMap<>();
        private final Map<Http2FrameStream, Http2Headers> heads = new ConcurrentHashMap<>();
        private ChannelHandlerContext context;
        private Channel channel;

        Peer connect() throws Exception {
            channel = new Bootstrap().group(loops).channel(NioSocketChannel.class).handler(new ChannelInitializer<>() {
                @Override
                protected void initChannel(Channel c) {
                    c.pipeline().addLast(Http2FrameCodecBuilder.forClient().initialSettings(Http2Settings.defaultSettings()
                            .pushEnabled(false)).build(), Peer.this);
                }
            }).connect(door()).sync().channel();
            return this;
        }

        @Override
        protected void handlerAdded0(ChannelHandlerContext ctx) {
            context = ctx;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (message instanceof Http2HeadersFrame h) {
                heads.put(h.stream(), h.headers());
                answers.get(h.stream()).add(String.valueOf(h.headers().status()));
            } else if (message instanceof Http2ResetFrame r) {
                answers.get(r.stream()).add("reset");
            }
            ReferenceCountUtil.release(message);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            answers.values().forEach(q -> q.add("closed"));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }

        /** Asks and returns the answer's status, or that there was none; and how it says that the request ended. */
        String ask(Http2Headers headers, int bodyBytes) throws Exception {
            BlockingQueue<String> answer = new LinkedBlockingQueue<>();
            Http2FrameStream stream = channel.eventLoop().submit(() -> {
                Http2FrameStream s = newStream();
                answers.put(s, answer);
                context.write(new DefaultHttp2HeadersFrame(headers, bodyBytes == 0).stream(s));
                if (bodyBytes > 0) {
                    context.write(new DefaultHttp2DataFrame(Unpooled.wrappedBuffer(new byte[bodyBytes]), true).stream(s));
                }
                context.flush();
                return s;
            }).get(10, TimeUnit.SECONDS);
            String status = answer.poll(10, TimeUnit.SECONDS);
            Http2Headers head = heads.get(stream);
            return status + (head != null && head.contains("rm-ran") ? " " + head.get("rm-ran") : "");
        }

        /** Begins to ask, and takes it back before its body has come; what is left of the body comes afterwards. */
        void askAndTakeBack(Http2Headers headers) throws Exception {
            channel.eventLoop().submit(() -> {
                Http2FrameStream s = newStream();
                answers.put(s, new LinkedBlockingQueue<>());
                context.write(new DefaultHttp2HeadersFrame(headers, false).stream(s));
                context.write(new DefaultHttp2DataFrame(Unpooled.wrappedBuffer(new byte[3]), false).stream(s));
                context.writeAndFlush(new DefaultHttp2ResetFrame(Http2Error.CANCEL).stream(s));
            }).get(10, TimeUnit.SECONDS);
        }

        String hello() throws Exception {
            return ask(fields("rm-kind", "hello", "rm-version", "1", "rm-hall", "teku-hall", "rm-nonce", "00"), 0);
        }
    }

    private InetSocketAddress door() {
        return hall.door(0);
    }

    private static Http2Headers fields(String... pairs) {
        Http2Headers h = new DefaultHttp2Headers().method("GET").scheme("http").path("/api/reading/m100001").authority("hall");
        for (int i = 0; i < pairs.length; i += 2) {
            h.set(pairs[i], pairs[i + 1]);
        }
        return h;
    }

    private Http2Headers call(String... changes) {
        Http2Headers h = fields("rm-kind", "call", "rm-id", "x" + ids++, "rm-left", "900", "rm-sent", "1000", "rm-class", "latest-reading",
                "rm-tenant", "bagmati-bijuli", "rm-halls", "teku-hall");
        for (int i = 0; i < changes.length; i += 2) {
            if (changes[i + 1].equals("-")) {
                h.remove(changes[i]);
            } else {
                h.set(changes[i], changes[i + 1]);
            }
        }
        return h;
    }

    private int reached() {
        return (int) hall.bed().ledger().nodes().stream().filter(e -> !e.id().isEmpty()).count();
    }

    @Test
    void aGoodCallIsServedAndSaysWhoItsNodesAre() throws Exception {
        Peer peer = new Peer().connect();
        assertEquals("200", peer.hello());
        assertEquals("200", peer.ask(call(), 0));
        assertEquals(1, reached());
        assertEquals("200 unknown", peer.ask(fields("rm-kind", "key", "rm-idempotency-key", "k", "rm-window", "6000"), 0),
                "it has just started");
    }

    @ParameterizedTest
    @CsvSource({"rm-class,-,400 never", "rm-class,nobody,400 never", "rm-left,-,400 never", "rm-left,-5,400 never", "rm-left,1e9,400 never",
        "rm-left,NaN,400 never", "rm-halls,-,400 never", "rm-halls,a b,400 never", "rm-halls,kalimati-hall,400 never",
        "'rm-halls','baneshwor-hall,teku-hall',503 never", "rm-id,-,400 never", "rm-id,'',400 never", "rm-left,0,503 never",
        "rm-kind,dance,400 never", "rm-idempotency-key,%zz,200"})
    void aCallThatMakesNoSenseReachesNoNode(String field, String value, String answer) throws Exception {
        Peer peer = new Peer().connect();
        peer.hello();
        assertEquals(answer, peer.ask(call(field, value), 0));
        assertEquals(answer.equals("200") ? 1 : 0, reached());
        assertEquals("200", peer.ask(call(), 0), "the link goes on");
    }

    @Test
    void nobodyIsServedBeforeItIsKnown() throws Exception {
        assertEquals("403 never", new Peer().connect().ask(call(), 0));
        assertEquals("403 never", new Peer().connect().ask(fields("rm-kind", "proof", "rm-proof", ""), 0));
        assertEquals("403 never", new Peer().connect().ask(fields("rm-kind", "hello", "rm-version", "1", "rm-hall", "nobody", "rm-nonce", "0"), 0));
        assertEquals("403 never", new Peer().connect().ask(fields("rm-kind", "hello", "rm-version", "9", "rm-hall", "teku-hall", "rm-nonce", "0"), 0));
        try (Socket socket = new Socket(door().getAddress(), door().getPort())) {
            socket.getOutputStream().write("GET /api/reading/m100001 HTTP/1.1\r\nHost: s\r\nrm-kind: call\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            socket.setSoTimeout(10_000);
            while (socket.getInputStream().read() >= 0) {
                // Until it is closed.
            }
        }
        assertEquals(0, reached());
        assertEquals("200", new Peer().connect().hello(), "others still come in");
    }

    @Test
    void oneThatWasHeldBackTooLongIsNotCarriedOut() throws Exception {
        Peer peer = new Peer().connect();
        peer.hello();
        assertEquals("200", peer.ask(call("rm-sent", "100000"), 0));
        // By its sender's clock written 5 s before the one above, and here after it.
        assertEquals("503 never", peer.ask(call("rm-sent", "95000"), 0));
        assertEquals(1, reached());
    }

    /** A cancel that is there before the whole of its request: nothing of it runs, and the next one does. */
    @Test
    void aCancelThatOvertakesItsRequestLeavesNothingToRun() throws Exception {
        Peer peer = new Peer().connect();
        peer.hello();
        Http2Headers credit = call("rm-class", "recharge-credit", "rm-idempotency-key", "k").method("PUT");
        String id = credit.get("rm-id").toString();
        peer.askAndTakeBack(credit);
        assertEquals("200", peer.ask(call(), 0));
        assertEquals(1, reached());
        assertEquals("200", peer.ask(call("rm-id", id), 0), "its id is free");
    }

    @Test
    void aBodyThatIsTooLongIsTurnedAwayAndAnIdIsTakenOnce() throws Exception {
        Peer peer = new Peer().connect();
        peer.hello();
        assertEquals("413 never", peer.ask(call(), 65_537));
        Http2Headers same = call();
        assertEquals("200", peer.ask(same, 0));
        assertEquals("503 never", peer.ask(call("rm-id", same.get("rm-id").toString()), 0), "it was here before");
        assertEquals(1, reached());
        assertTrue(hall.gateways().get(0).halls().stream().anyMatch(l -> l.contains("loops=1")));
    }
}
