package ridgemill.cdn.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests how requests are sent to instances and which responses clients receive. */
class ForwardingTest {

    private static final String SEAL = "X-Response-Seal: s\r\n";
    private static final StubInstance.Script DECLINES = (request, socket) ->
            StubInstance.write(socket, StubInstance.response(request, 503, "X-Not-Executed: 1\r\n", ""));
    private static final StubInstance.Script RESETS = (request, socket) -> false;

    private ProxyFixture proxy;

    @BeforeEach
    void start() throws Exception {
        proxy = new ProxyFixture();
    }

    @AfterEach
    void stop() throws Exception {
        proxy.close();
    }

    @Test
    void requestIsForwardedUnchangedExceptHopByHopHeaders() throws Exception {
        StubInstance instance = proxy.instance(
                "a",
                (request, socket) -> StubInstance.write(
                        socket,
                        StubInstance.response(request, 201, SEAL + "X-B: c\r\nKeep-Alive: timeout=9\r\n", "ok")));
        ProxyFixture.Client client = proxy.client();
        client.send("PUT /n/a%20b?q=1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: 7\r\nX-Other: o\r\nX-Hop: h\r\n"
                + "Connection: keep-alive, x-hop\r\nX-Deadline-Remaining: 900\r\nContent-Length: 4\r\n\r\nbody");
        ProxyFixture.Reply reply = client.read();
        assertThat(reply.status()).isEqualTo(201);
        assertThat(reply.body()).isEqualTo("ok");
        assertThat(reply.header("X-Response-Seal")).isEqualTo("s");
        assertThat(reply.header("X-B")).isEqualTo("c");
        assertThat(reply.header("X-Attempt-Id")).isEqualTo("7");
        StubInstance.Received received = instance.take();
        assertThat(received.head()).startsWith("PUT /n/a%20b?q=1 HTTP/1.1\r\n");
        assertThat(received.body()).isEqualTo("body");
        assertThat(received.header("X-Other")).isEqualTo("o");
        assertThat(received.header("X-Hop")).isNull();
        assertThat(received.header("Connection")).isNull();
        assertThat(received.header("X-Expected-Instance")).isEqualTo("a");
        assertThat(Integer.parseInt(received.header("X-Deadline-Remaining"))).isBetween(1, 900);
    }

    @Test
    void requestThatWasNotExecutedIsRetriedElsewhere() throws Exception {
        StubInstance one = proxy.instance("a", DECLINES);
        StubInstance other = proxy.instance("b", DECLINES);
        ProxyFixture.Reply reply = proxy.request("POST", "/n/1", "1", "");
        assertThat(reply.status()).isEqualTo(503);
        assertThat(reply.header("Retry-After")).isNotNull();
        one.take();
        other.take();
        one.script = (request, socket) -> StubInstance.write(socket, StubInstance.response(request, 421, "", ""));
        other.script = one.script;
        assertThat(proxy.request("POST", "/n/2", "2", "").status()).isEqualTo(503);
    }

    @Test
    void requestThatMayHaveRunIsRetriedOnlyIfTheRouteAllowsIt() throws Exception {
        StubInstance one = proxy.instance("a", RESETS);
        StubInstance other = proxy.instance("b", RESETS);
        assertThat(proxy.request("POST", "/n/1", "1", "").status()).isEqualTo(502);
        assertThat(one.received.size() + other.received.size()).isEqualTo(1);
        assertThat(proxy.request("GET", "/i/1", "2", "").status()).isEqualTo(502);
        assertThat(one.received.size() + other.received.size()).isEqualTo(3);
    }

    @Test
    void incompleteOrForeignResponsesAreNeverForwarded() throws Exception {
        String[] malformed = {
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Seal: s\r\nContent-Length: 9\r\n\r\ncut",
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Response-Seal: s\r\nContent-Length: 1\r\n\r\nx",
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nContent-Length: 1\r\n\r\nx",
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\n" + SEAL + "Content-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx",
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Seal: s\r\n\r\nto the end",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\n" + SEAL + "Content-Length: 0\r\n\r\n",
            "no answer at all\r\n\r\n",
        };
        StubInstance instance = proxy.instance("a", RESETS);
        for (int i = 0; i < malformed.length; i++) {
            String text = malformed[i];
            instance.script = (request, socket) -> {
                StubInstance.write(socket, text.replace("ID", request.attemptId()));
                return false;
            };
            assertThat(proxy.request("POST", "/n/1", "1", "").status()).as(text).isEqualTo(502);
        }
        assertThat(instance.received).hasSize(malformed.length);
    }

    @Test
    void completeResponseBeforeTheEndOfTheRequestIsForwarded() throws Exception {
        int bytes = 16_000_000;
        proxy.onLoop(() -> proxy.control.setRoutes(
                new ridgemill.cdn.config.Limits(2_000, bytes, 300, 2_000),
                0,
                ProxyFixture.route(ridgemill.cdn.config.RouteKind.NON_IDEMPOTENT, "/n/", 2)));
        CountDownLatch done = new CountDownLatch(1);
        StubInstance instance = proxy.instance("a", RESETS);
        String[] responses = {
            "HTTP/1.1 413 X\r\nX-Attempt-Id: ID\r\nContent-Length: 3\r\n\r\nbig",
            "HTTP/1.1 200 X\r\nX-Attempt-Id: ID\r\n" + SEAL + "Content-Length: 3\r\n\r\nyes",
            "HTTP/1.1 200 X\r\nX-Attempt-Id: other\r\n" + SEAL + "Content-Length: 3\r\n\r\nyes",
            "HTTP/1.1 200 X\r\nX-Attempt-Id: ID\r\n" + SEAL + "Content-Length: 4\r\n\r\nyes",
        };
        int[] statuses = {413, 200, 504, 504};
        for (int i = 0; i < responses.length; i++) {
            String text = responses[i];
            instance.earlyScript = (request, socket) -> {
                StubInstance.write(socket, text.replace("ID", request.attemptId()));
                done.await();
                return false;
            };
            ProxyFixture.Client client = proxy.client();
            client.send("POST /n/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + i
                    + "\r\nX-Deadline-Remaining: 1500\r\nContent-Length: " + bytes + "\r\n\r\n");
            client.sendBytes(bytes);
            assertThat(client.read().status()).as(text).isEqualTo(statuses[i]);
        }
        done.countDown();
    }

    @Test
    void truncatedResponseBeforeTheEndOfTheRequestMeansItMayHaveRun() throws Exception {
        int bytes = 16_000_000;
        proxy.onLoop(() -> proxy.control.setRoutes(
                new ridgemill.cdn.config.Limits(2_000, bytes, 300, 2_000),
                0,
                ProxyFixture.route(ridgemill.cdn.config.RouteKind.NON_IDEMPOTENT, "/n/", 2)));
        StubInstance instance = proxy.instance("a", RESETS);
        CountDownLatch done = new CountDownLatch(1);
        instance.earlyScript = (request, socket) -> {
            StubInstance.write(socket, "HTTP/1.1 200 X\r\nX-Attempt-Id: " + request.attemptId() + "\r\n");
            socket.shutdownOutput();
            done.await();
            return false;
        };
        ProxyFixture.Client client = proxy.client();
        client.send(
                "POST /n/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: 1\r\nContent-Length: " + bytes + "\r\n\r\n");
        client.sendBytes(bytes);
        assertThat(client.read().status()).isEqualTo(502);
        done.countDown();
    }

    @Test
    void surplusResponseIsSkipped() throws Exception {
        StubInstance instance = proxy.instance(
                "a",
                (request, socket) -> StubInstance.write(
                        socket,
                        "HTTP/1.1 200 OK\r\nX-Attempt-Id: old\r\nX-Response-Seal: s\r\nContent-Length: 3\r\n\r\nold"
                                + StubInstance.response(request, 200, "X-Response-Seal: s\r\n", "new")));
        assertThat(proxy.request("POST", "/n/1", "1", "").body()).isEqualTo("new");
        instance.take();
    }

    @Test
    void statusThatImpliesNoExecutionIsNotForwarded() throws Exception {
        proxy.instance(
                "a", (request, socket) -> StubInstance.write(socket, StubInstance.response(request, 503, "", "")));
        assertThat(proxy.request("POST", "/n/1", "1", "").status()).isEqualTo(502);
    }

    @Test
    void everyRequestIsAnsweredAtItsDeadline() throws Exception {
        CountDownLatch done = new CountDownLatch(1);
        StubInstance unresponsive = proxy.instance("a", (request, socket) -> {
            done.await();
            return false;
        });
        assertThat(proxy.request("POST", "/n/1", "1", "X-Deadline-Remaining: 150\r\n")
                        .status())
                .isEqualTo(504);
        assertThat(unresponsive.take().attemptId()).isEqualTo("1");
        assertThat(proxy.request("POST", "/n/1", "2", "X-Deadline-Remaining: 0\r\n")
                        .status())
                .isEqualTo(503);
        assertThat(unresponsive.received).isEmpty();
        done.countDown();
    }

    @Test
    void retryableRequestWithoutResponseIsRetriedElsewhere() throws Exception {
        CountDownLatch done = new CountDownLatch(1);
        StubInstance one = proxy.instance("a", StubInstance.sealed("x"));
        StubInstance other = proxy.instance("b", StubInstance.sealed("x"));
        for (int i = 0; one.received.isEmpty() || other.received.isEmpty(); i++) {
            assertThat(proxy.request("GET", "/i/1", "w" + i, "").status()).isEqualTo(200);
        }
        StubInstance.Script once = one.script;
        StubInstance.Script hangs = (request, socket) -> {
            one.script = once;
            other.script = once;
            done.await();
            return false;
        };
        one.script = hangs;
        other.script = hangs;
        assertThat(proxy.request("GET", "/i/1", "1", "").body()).isEqualTo("x");
        done.countDown();
    }

    @Test
    void requestIsCancelledWhenItsClientDisconnects() throws Exception {
        CountDownLatch left = new CountDownLatch(1);
        proxy.instance("a", (request, socket) -> {
            if (socket.getInputStream().read() < 0) {
                left.countDown();
            }
            return false;
        });
        ProxyFixture.Client client = proxy.client();
        client.send("GET /i/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: 1\r\n\r\n");
        proxy.awaitInFlight(1);
        client.socket().close();
        assertThat(left.await(5, java.util.concurrent.TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void requestsStayWithinTheShareOfTheOriginRate() throws Exception {
        StubInstance instance = proxy.instance("a", StubInstance.sealed("x"));
        proxy.onLoop(() -> {
            proxy.control.setRoutes(
                    ProxyFixture.LIMITS, 10, ProxyFixture.route(ridgemill.cdn.config.RouteKind.IDEMPOTENT, "/i/", 2));
            proxy.control.listeners.forEach(l -> l.configurationChanged());
        });
        ProxyFixture.Client client = proxy.client();
        int refused = 0;
        for (int i = 0; i < 20; i++) {
            refused += client.request("GET", "/i/1", "r" + i, "").status() == 503 ? 1 : 0;
        }
        assertThat(refused).isGreaterThan(10);
        assertThat(instance.received.size()).isEqualTo(20 - refused);
    }
}
