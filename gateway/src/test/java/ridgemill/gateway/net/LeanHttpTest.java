package ridgemill.gateway.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What is read here is read alike by Netty's decoders under {@link StrictHttp}; what they refuse is never read here. */
class LeanHttpTest {

    private static final int MESSAGES = 300_000;
    private static final List<String> NAMES = List.of("Host", "X-Call-Id", "x-call-id", "X-Budget", "X-Caller", "Content-Type",
            "Content-Length", "content-length", "Connection", "Transfer-Encoding", "Expect", "Upgrade", "X-Hit", "Trailer", "A",
            "X_Y", "X-Again", "Idempotency-Key");
    private static final List<String> VALUES = List.of("a", "", "0", "1", "5", "05", "+5", "-1", "5, 5", "99999", "70000", "close",
            "keep-alive", "Close", "chunked", "identity", "100-continue", "a b", " a", "a ", "a\tb", "a:b", "\u00e9", "h2c");
    private static final List<String> SPOILS = List.of("\r", "\n", " ", ":", "\0", "\t", "\u007f", "\u00ff", "\r\n", "\r\n\r\n",
            "x", "HTTP/1.1");

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }

    private static String random(SplittableRandom random, List<String> from) {
        return from.get(random.nextInt(from.size()));
    }

    private static String message(SplittableRandom random, boolean request) {
        StringBuilder text = new StringBuilder(request
                ? random(random, List.of("GET", "PUT", "GET", "PUT", "POST", "get", "GETX")) + " "
                        + random(random, List.of("/api/m1", "/api/m1?x=1", "/", "*", "/a b", "/up", "/api/%2e", "api")) + " "
                        + random(random, List.of("HTTP/1.1", "HTTP/1.1", "HTTP/1.1", "HTTP/1.0", "HTTP/2.0", "http/1.1"))
                : random(random, List.of("HTTP/1.1", "HTTP/1.1", "HTTP/1.1", "HTTP/1.0")) + " "
                        + random(random, List.of("200 OK", "404 Not Found", "503 x", "200 ", "200", "204 x", "304 x", "100 x", "999 x",
                        "2000 x", "20 x", "503 Service  Unavailable")));
        text.append("\r\n");
        for (int i = random.nextInt(6); i > 0; i--) {
            text.append(random(random, NAMES)).append(random(random, List.of(": ", ": ", ":", " : ", ":  ")))
                    .append(random(random, VALUES)).append("\r\n");
        }
        String body = "12345".substring(0, random.nextInt(6));
        if (random.nextInt(3) > 0) {
            text.append("Content-Length: ").append(body.length()).append("\r\n");
        }
        text.append("\r\n").append(body);
        if (random.nextInt(3) == 0) {
            text.insert(random.nextInt(text.length() + 1), random(random, SPOILS));
        }
        if (random.nextInt(4) == 0) {
            text.deleteCharAt(random.nextInt(text.length()));
        }
        return text.toString();
    }

    /** What Netty's decoder makes of bytes: one whole message and nothing besides, or null. */
    private static FullHttpMessage nettys(String text, boolean request) {
        EmbeddedChannel channel = request ? new EmbeddedChannel(new StrictHttp.Requests(), new HttpObjectAggregator(Content.MAX_BYTES))
                : new EmbeddedChannel(new StrictHttp.Responses(), new HttpObjectAggregator(Content.MAX_BYTES));
        try {
            channel.writeInbound(bytes(text));
        } catch (RuntimeException e) {
            return null;
        }
        FullHttpMessage first = channel.readInbound();
        boolean alone = channel.readInbound() == null;
        StrictHttp.Responses decoder = channel.pipeline().get(StrictHttp.Responses.class);
        return first != null && alone && first.decoderResult().isSuccess() && !StrictHttp.oddCoding(first)
                && (decoder == null || !decoder.leftOver()) ? first : null;
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void whateverIsReadHereIsReadAlikeByNetty(boolean request) {
        long seed = System.nanoTime();
        SplittableRandom random = new SplittableRandom(seed);
        int read = 0;
        for (int n = 0; n < MESSAGES; n++) {
            String text = message(random, request);
            ByteBuf in = bytes(text);
            LeanHttp lean = request ? LeanHttp.request(in) : LeanHttp.response(in);
            if (lean == null) {
                continue;
            }
            read++;
            String where = "seed " + seed + ": " + text.replace("\r", "\\r").replace("\n", "\\n");
            FullHttpMessage netty = nettys(text, request);
            assertNotNull(netty, where);
            if (netty instanceof FullHttpRequest r) {
                assertEquals(r.method().name(), lean.isPut() ? "PUT" : "GET", where);
                assertEquals(r.uri(), lean.target(), where);
            } else {
                assertEquals(((FullHttpResponse) netty).status().code(), lean.status(), where);
            }
            for (String name : NAMES) {
                // The aggregator says the length of one that said none.
                boolean said = !name.equalsIgnoreCase("Content-Length") || text.toLowerCase(Locale.ROOT).contains("\ncontent-length:");
                assertEquals(said ? netty.headers().get(name) : null, lean.get(name), where + " " + name);
            }
            assertEquals(HttpUtil.isKeepAlive(netty), lean.isKeepAlive(), where);
            ByteBuf body = lean.body(in);
            assertEquals(netty.content().toString(StandardCharsets.ISO_8859_1), body.toString(StandardCharsets.ISO_8859_1), where);
            assertEquals(body.readableBytes(), lean.bodyBytes(), where);
            body.release();
            assertEquals(1, in.refCnt(), where);
            netty.release();
        }
        assertTrue(read > MESSAGES / 100, read + " of " + MESSAGES + " were read, seed " + seed);
    }

    @ParameterizedTest
    @ValueSource(strings = {
        "GET /api/k HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        "GET /api/k HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx",
        "GET /api/k HTTP/1.1\r\nHost : s\r\n\r\n", "GET /api/k HTTP/1.1\r\n folded\r\n\r\n",
        "GET /api/k HTTP/1.1\nHost: s\n\n", "GET /api/k HTTP/1.1\r\nHost: s\r\n\r\nGET /api/k HTTP/1.1\r\n\r\n",
        "PUT /api/k HTTP/1.1\r\nContent-Length: 5\r\n\r\n123", "PUT /api/k HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 0\r\n\r\n",
        "GET /api/k HTTP/1.1\r\nX: a\rb\r\n\r\n", "GET /api/k HTTP/1.1\r\nX: a\0b\r\n\r\n", "GET http://s/api/k HTTP/1.1\r\n\r\n",
        "GET /api/k HTTP/1.0\r\n\r\n", "GET /api/k HTTP/1.1\r\nno header\r\n\r\n", "GET", "", "GET /"})
    void whatIsNotPlainIsLeftToNetty(String text) {
        assertNull(LeanHttp.request(bytes(text)));
    }

    @Test
    void headsOfAnyLengthAreReadOrDeclined() {
        for (int length = 0; length < 2100; length += 7) {
            String text = "GET /api/" + "k".repeat(length) + " HTTP/1.1\r\nHost: s\r\n\r\n";
            LeanHttp lean = LeanHttp.request(bytes(text));
            assertEquals(text.length() <= 2048, lean != null, text.length() + " bytes");
        }
        StringBuilder many = new StringBuilder("GET /api/k HTTP/1.1\r\n");
        for (int i = 0; i < 32; i++) {
            many.append("A: b\r\n");
        }
        assertNotNull(LeanHttp.request(bytes(many + "\r\n")));
        assertNull(LeanHttp.request(bytes(many + "A: b\r\n\r\n")));
    }

    /** A name that differs from another by the bit that letters of both cases differ in, and is no letter. */
    @Test
    void namesAreComparedByLettersAlone() {
        LeanHttp lean = LeanHttp.request(bytes("GET /api/k HTTP/1.1\r\nX-A1: v\r\n\r\n"));
        assertEquals("v", lean.get("x-a1"));
        assertEquals("v", lean.get("X-A1"));
        // '-' and CR, '1' and DC1: 0x20 apart.
        assertNull(lean.get("x\ra1"));
        assertNull(lean.get("x-a\u0011"));
    }

    @Test
    void numbersAreWrittenAsTheyAre() {
        for (long n : new long[] {0, 1, 9, 10, 99, 100, 65_536, 1_234_567_890_123L}) {
            ByteBuf out = Unpooled.buffer();
            LeanHttp.writeNumber(out, n);
            assertEquals(String.valueOf(n), out.toString(StandardCharsets.US_ASCII));
        }
        List<String> written = new ArrayList<>();
        for (long ms : new long[] {0, 1, 20, 999, 1000, 1500, 61_007}) {
            ByteBuf out = Unpooled.buffer();
            LeanHttp.writeSeconds(out, ms);
            written.add(out.toString(StandardCharsets.US_ASCII));
        }
        assertEquals(List.of("0.000", "0.001", "0.020", "0.999", "1.000", "1.500", "61.007"), written);
    }

    @Test
    void plainTextsAreThoseThatAHeadCanHold() {
        assertTrue(LeanHttp.isPlain("/api/m1?x=1", false));
        assertTrue(LeanHttp.isPlain("text/plain; charset=utf-8", true));
        for (String bad : List.of("", "a b", "a\r\nX: y", "a\n", "\u00e9", "a\0", "a\u007f", "a\t")) {
            assertFalse(LeanHttp.isPlain(bad, false), bad);
        }
        assertFalse(LeanHttp.isPlain(" a", true));
        assertFalse(LeanHttp.isPlain("a ", true));
    }
}
