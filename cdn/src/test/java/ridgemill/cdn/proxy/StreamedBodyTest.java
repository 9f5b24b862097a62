package ridgemill.cdn.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import ridgemill.cdn.config.Limits;
import ridgemill.cdn.config.RouteKind;
import ridgemill.cdn.proxy.http.Headers;

/** Tests requests whose body is streamed because it is too large to be held. */
class StreamedBodyTest {

    private static final int LENGTH = 300_000;
    private static final int MAX_BODY_BYTES = 32_000_000;
    private static final String BODY = "0123456789".repeat(LENGTH / 10);
    private static final byte[] BLOCK = new byte[1_000];
    private static final String SEAL = "X-Response-Seal: s\r\n";
    private static final String KEY = "X-Operation-Key: k\r\n";

    private final CountDownLatch done = new CountDownLatch(1);
    private ProxyFixture proxy;

    @BeforeEach
    void start() throws Exception {
        proxy = new ProxyFixture();
        proxy.onLoop(() -> proxy.control.setRoutes(
                new Limits(2_000, MAX_BODY_BYTES, 300, 2_000),
                0,
                ProxyFixture.route(RouteKind.IDEMPOTENT, "/i/", 2),
                ProxyFixture.route(RouteKind.NON_IDEMPOTENT, "/n/", 2),
                ProxyFixture.route(RouteKind.KEYED_IDEMPOTENT, "/k/", 2)));
    }

    @AfterEach
    void stop() throws Exception {
        done.countDown();
        proxy.close();
    }

    private static String head(String method, String path, String id, String headers) {
        return method + ' ' + path + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id + "\r\n" + headers + "\r\n";
    }

    private static String post(String path, String id, String headers) {
        return head("POST", path, id, headers + "Content-Length: " + LENGTH + "\r\n");
    }

    /** Responds with the number of bytes of the body. */
    private static StubInstance.Script countsBytes() {
        return (request, socket) -> StubInstance.write(
                socket,
                StubInstance.response(
                        request, 200, SEAL, Integer.toString(request.body().length())));
    }

    /**
     * Starts an instance that reads until its connection ends and does not respond. Returns the number of bytes that it
     * has read by then.
     */
    private CompletableFuture<Integer> readBodyToTheEnd() throws Exception {
        CompletableFuture<Integer> endOfBody = new CompletableFuture<>();
        StubInstance instance = proxy.instance("a", (request, socket) -> false);
        instance.earlyScript = (request, socket) -> {
            endOfBody.complete(socket.getInputStream().readAllBytes().length);
            return false;
        };
        return endOfBody;
    }

    @Test
    void largeBodyIsForwardedUnchangedAndTheConnectionStaysUsable() throws Exception {
        StubInstance instance = proxy.instance("a", countsBytes());
        ProxyFixture.Client client = proxy.client();
        for (String path : new String[] {"/i/1", "/n/1", "/k/1"}) {
            client.send(post(path, path, KEY) + BODY);
            assertThat(client.read().body()).as(path).isEqualTo(Integer.toString(LENGTH));
            assertThat(instance.take().body()).as(path).isEqualTo(BODY);
        }
        assertThat(client.request("GET", "/i/2", "2", "").body()).isEqualTo("0");
    }

    /** The first chunk is gathered before it is known that the body is large; it must not get lost. */
    @Test
    void largeBodyInChunksIsForwardedInChunks() throws Exception {
        StubInstance instance = proxy.instance("a", (request, socket) -> false);
        CompletableFuture<String> chunks = new CompletableFuture<>();
        instance.earlyScript = (request, socket) -> {
            assertThat(request.header("Transfer-Encoding")).isEqualTo("chunked");
            assertThat(request.header("Content-Length")).isNull();
            StringBuilder body = new StringBuilder();
            for (int size = chunkSize(socket); size > 0; size = chunkSize(socket)) {
                body.append(new String(socket.getInputStream().readNBytes(size), StandardCharsets.ISO_8859_1));
                readLine(socket);
            }
            readLine(socket);
            chunks.complete(body.toString());
            StubInstance.write(socket, StubInstance.response(request, 200, SEAL, "yes"));
            return true;
        };
        ProxyFixture.Client client = proxy.client();
        client.send(head("POST", "/n/1", "1", "Transfer-Encoding: chunked\r\n"));
        int sent = 0;
        for (int size : new int[] {10, 60_000, 10, 100_000, LENGTH - 160_020}) {
            client.send(Integer.toHexString(size) + "\r\n" + BODY.substring(sent, sent + size) + "\r\n");
            sent += size;
        }
        client.send("0\r\nX-Trailer: t\r\n\r\n");
        assertThat(client.read().body()).isEqualTo("yes");
        assertThat(chunks.get(5, TimeUnit.SECONDS)).isEqualTo(BODY);
    }

    private static int chunkSize(java.net.Socket socket) throws Exception {
        return Integer.parseInt(readLine(socket), 16);
    }

    private static String readLine(java.net.Socket socket) throws Exception {
        StringBuilder line = new StringBuilder();
        for (int next = socket.getInputStream().read();
                next != '\n';
                next = socket.getInputStream().read()) {
            line.append(next == '\r' ? "" : Character.toString(next));
        }
        return line.toString();
    }

    @Test
    void refusedRequestIsAnsweredBeforeItsBodyAndTheRestIsReadAway() throws Exception {
        proxy.instance("a", countsBytes());
        ProxyFixture.Client client = proxy.client();
        client.send(post("/nowhere/", "1", ""));
        assertThat(client.read().status()).isEqualTo(404);
        client.send(BODY);
        client.send(post("/k/1", "2", ""));
        assertThat(client.read().status()).as("without an operation key").isEqualTo(400);
        client.send(BODY + post("/n/1", "3", "") + BODY);
        assertThat(client.read().body()).isEqualTo(Integer.toString(LENGTH));
    }

    @Test
    void bodyIsRequestedFromAWaitingClientOnlyOnceAnInstanceTakesIt() throws Exception {
        proxy.register.deferring = true;
        proxy.instance("a", countsBytes());
        ProxyFixture.Client client = proxy.client();
        client.send(post("/k/1", "1", KEY + "Expect: 100-continue\r\n"));
        proxy.register.claims.poll(5, TimeUnit.SECONDS);
        assertThat(client.socket().getInputStream().available()).isZero();
        proxy.onLoop(() -> proxy.register.deferred.poll().run());
        assertThat(client.read().status()).isEqualTo(100);
        client.send(BODY);
        assertThat(client.read().body()).isEqualTo(Integer.toString(LENGTH));
    }

    /** Without {@code 100 Continue} it is unknown whether the body follows, so the connection cannot be used again. */
    @Test
    void refusalOfAWaitingClientClosesTheConnection() throws Exception {
        ProxyFixture.Client client = proxy.client();
        client.send(post("/n/1", "1", "Expect: 100-continue\r\n"));
        ProxyFixture.Reply refusal = client.read();
        assertThat(refusal.status()).isEqualTo(503);
        assertThat(refusal.header("Connection")).isEqualTo("close");
        assertThat(client.isClosed()).isTrue();
    }

    @Test
    void declinedRequestIsRefusedAndNotSentAgain() throws Exception {
        StubInstance.Script declines = (request, socket) ->
                StubInstance.write(socket, StubInstance.response(request, 503, "X-Not-Executed: 1\r\n", ""));
        StubInstance one = proxy.instance("a", declines);
        StubInstance other = proxy.instance("b", declines);
        for (String path : new String[] {"/i/1", "/n/1", "/k/1"}) {
            ProxyFixture.Client client = proxy.client();
            client.send(post(path, path, KEY) + BODY);
            assertThat(client.read().status()).as(path).isEqualTo(503);
            assertThat(one.received.size() + other.received.size()).as(path).isEqualTo(1);
            one.received.clear();
            other.received.clear();
        }
        assertThat(proxy.register.calls).as("nothing has run").containsExactly("release");
    }

    /** The instance has a part of the request: whether it has run is not known, so the claim is kept. */
    @Test
    void clientThatStopsMidwayEndsTheAttemptAndKeepsTheClaim() throws Exception {
        CompletableFuture<Integer> endOfBody = readBodyToTheEnd();
        ProxyFixture.Client client = proxy.client();
        client.send(post("/k/1", "1", KEY) + BODY.substring(0, 200_000));
        proxy.awaitInFlight(1);
        client.socket().close();
        assertThat(endOfBody.get(5, TimeUnit.SECONDS)).isLessThanOrEqualTo(200_000);
        proxy.awaitInFlight(0);
        assertThat(proxy.register.calls).isEmpty();
        assertThat(proxy.request("POST", "/k/1", "2", KEY).status()).isEqualTo(409);
    }

    @Test
    void malformedChunkMidwayEndsTheAttempt() throws Exception {
        CompletableFuture<Integer> endOfBody = readBodyToTheEnd();
        ProxyFixture.Client client = proxy.client();
        client.send(head("POST", "/n/1", "1", "Transfer-Encoding: chunked\r\n") + "20000\r\n"
                + BODY.substring(0, 0x20000) + "\r\nno size\r\n");
        assertThat(client.read().status()).isEqualTo(400);
        assertThat(client.isClosed()).isTrue();
        assertThat(endOfBody.get(5, TimeUnit.SECONDS)).isPositive();
        proxy.awaitInFlight(0);
    }

    /** A duplicate waits without its body being read, and receives the response of the first request. */
    @Test
    void duplicateReceivesTheResponseOfTheFirstRequest() throws Exception {
        CountDownLatch bothSent = new CountDownLatch(1);
        StubInstance instance = proxy.instance("a", (request, socket) -> {
            bothSent.await();
            return countsBytes().respond(request, socket);
        });
        proxy.setRoutes(ProxyFixture.route(RouteKind.KEYED_IDEMPOTENT, "/k/", 2, 8_000));
        proxy.onLoop(() -> proxy.control.setRoutes(
                new Limits(2_000, MAX_BODY_BYTES, 300, 2_000),
                0,
                ProxyFixture.route(RouteKind.KEYED_IDEMPOTENT, "/k/", 2, 8_000)));
        ProxyFixture.Client first = proxy.client();
        first.send(post("/k/1", "1", KEY) + BODY);
        instance.take();
        ProxyFixture.Client second = proxy.client();
        second.send(post("/k/1", "2", KEY));
        proxy.awaitInFlight(2);
        bothSent.countDown();
        assertThat(first.read().body()).isEqualTo(Integer.toString(LENGTH));
        ProxyFixture.Reply repeat = second.read();
        assertThat(repeat.body()).isEqualTo(Integer.toString(LENGTH));
        assertThat(repeat.header("X-Attempt-Id")).isEqualTo("2");
        second.send(BODY);
        second.send(post("/k/1", "3", KEY) + BODY);
        assertThat(second.read().body()).isEqualTo(Integer.toString(LENGTH));
        assertThat(instance.received).isEmpty();
    }

    /** An instance that reads nothing: the proxy reads no more than it can buffer, and ends the request in time. */
    @Test
    void instanceThatAcceptsNothingHoldsTheClientBack() throws Exception {
        StubInstance instance = proxy.instance("a", (request, socket) -> false);
        instance.earlyScript = (request, socket) -> {
            done.await();
            return false;
        };
        ProxyFixture.Client client = proxy.client();
        client.send(
                head("POST", "/n/1", "1", "X-Deadline-Remaining: 1500\r\nContent-Length: " + MAX_BODY_BYTES + "\r\n"));
        CompletableFuture<Void> sent = CompletableFuture.runAsync(() -> {
            try {
                client.sendBytes(MAX_BODY_BYTES);
            } catch (java.io.IOException closed) {
                throw new java.io.UncheckedIOException(closed);
            }
        });
        assertThat(client.read().status()).isEqualTo(504);
        sent.get(5, TimeUnit.SECONDS);
        assertThat(client.request("GET", "/nowhere/", "2", "").status()).isEqualTo(404);
    }

    @Test
    void clientThatSendsNothingMoreIsEndedAndItsMemoryGivenBack() throws Exception {
        readBodyToTheEnd();
        ProxyFixture.Client client = proxy.client();
        client.send(post("/n/1", "1", "") + BODY.substring(0, 100_000));
        assertThat(client.read().status()).as("a part was passed on").isEqualTo(504);
        assertThat(client.isClosed()).isTrue();
        proxy.awaitInFlight(0);
        assertThat(held("streamed_bodies")).isZero();
    }

    /** An upload that takes long must not count as a slow response of its instance. */
    @Test
    void theTimeOfAnUploadIsNotThatOfItsInstance() throws Exception {
        Semaphore heads = new Semaphore(0);
        StubInstance instance = proxy.instance("a", countsBytes());
        instance.earlyScript = (request, socket) -> {
            heads.release();
            return true;
        };
        StreamedBody body = new StreamedBody(BLOCK.length, new StreamedBody.Source() {
            @Override
            public void resumeBody(StreamedBody resumed) {}

            @Override
            public void pauseBody(StreamedBody paused) {}
        });
        CompletableFuture<Attempt> ended = new CompletableFuture<>();
        proxy.onLoop(() -> attempt(body, ended).start(proxy.timers.now() + 9_000, Double.POSITIVE_INFINITY));
        assertThat(heads.tryAcquire(5, TimeUnit.SECONDS)).isTrue();
        proxy.timers.advance(3_000);
        proxy.onLoop(() -> {
            body.bodyPiece(Unpooled.wrappedBuffer(BLOCK));
            body.completed(proxy.timers.now());
        });
        assertThat(ended.get(5, TimeUnit.SECONDS).instance().meanLatencyMs()).isLessThan(3_000);
    }

    private Attempt attempt(StreamedBody body, CompletableFuture<Attempt> ended) {
        ProxyContext context = proxy.newContext();
        ServiceState service = context.service("s");
        OutgoingRequest request = new OutgoingRequest(
                "POST", "/n/1", "1", new Headers().add("X-Attempt-Id", "1"), new byte[0], body, 1, 400);
        return new Attempt(context, service, service.picker().instances().get(0), request, false, ended::complete);
    }

    @Test
    void drainFinishesAnUploadInProgress() throws Exception {
        StubInstance instance = proxy.instance("a", countsBytes());
        ProxyFixture.Client client = proxy.client();
        client.send(post("/n/1", "1", "") + BODY.substring(0, 100_000));
        proxy.awaitInFlight(1);
        proxy.onLoop(() -> proxy.dataPath.drain(1_000, 5_000));
        client.send(BODY.substring(100_000));
        ProxyFixture.Reply reply = client.read();
        assertThat(reply.body()).isEqualTo(Integer.toString(LENGTH));
        assertThat(reply.header("Connection")).isEqualTo("close");
        assertThat(client.isClosed()).isTrue();
        assertThat(instance.take().body()).isEqualTo(BODY);
    }

    private double held(String use) {
        return proxy.meters.get("ridgemill.memory.held").tag("use", use).gauge().value();
    }
}
