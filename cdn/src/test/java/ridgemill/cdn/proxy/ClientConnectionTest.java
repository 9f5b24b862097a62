package ridgemill.cdn.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the requests that clients may send and the handling of their connections. */
class ClientConnectionTest {

    private static final int LARGE_BODY_BYTES = 8 << 20;
    private static final int SMALL_BUFFER_BYTES = 4_096;

    private static final String SLOW_REQUEST =
            "GET /i/9 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: 9\r\nX-Deadline-Remaining: 5000\r\n\r\n";

    private ProxyFixture proxy;

    /** A limit on file descriptors that leaves four for clients. */
    private static final int DESCRIPTORS_FOR_FOUR = 237;

    @BeforeEach
    void start() throws Exception {
        proxy = new ProxyFixture();
    }

    @AfterEach
    void stop() throws Exception {
        proxy.close();
    }

    @Test
    void ambiguousFramingIsRejected() throws Exception {
        StubInstance instance = proxy.instance("a", StubInstance.sealed("x"));
        String start = "POST /i/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: 1\r\n";
        String[] smuggled = {
            start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            start + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
            start + "Content-Length: +3\r\n\r\nabc",
            start + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            start + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            start + "Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n",
            start + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
            start + "Transfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n",
            start + "Content-Length : 3\r\n\r\nabc",
            start + "X-A: b\r\n folded: c\r\n\r\n",
            start + "X-A: b\n\r\n",
            start + "X-A: b\rX-B: c\r\n\r\n",
            start + "Bad Name: b\r\n\r\n",
            "POST /i/1  HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: 1\r\n\r\n",
            start + "Host: other.example\r\n\r\n",
        };
        for (String request : smuggled) {
            ProxyFixture.Client client = proxy.client();
            client.send(request);
            assertThat(client.read().status()).as(request).isEqualTo(400);
            assertThat(client.isClosed()).as(request).isTrue();
        }
        assertThat(instance.received).isEmpty();
    }

    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        StubInstance instance = proxy.instance(
                "a",
                (request, socket) -> StubInstance.write(
                        socket, StubInstance.response(request, 200, "X-Response-Seal: s\r\n", request.body())));
        ProxyFixture.Client client = proxy.client();
        String head = " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: ";
        client.send("POST /i/1" + head + "1\r\nContent-Length: 3\r\n\r\noneGET /none" + head + "2\r\n\r\n"
                + "POST /i/3" + head + "3\r\nTransfer-Encoding: chunked\r\n\r\n"
                + "3\r\nthr\r\n2;a=b\r\nee\r\n0\r\nT: t\r\n\r\n");
        assertThat(client.read().body()).isEqualTo("one");
        assertThat(client.read().status()).isEqualTo(404);
        ProxyFixture.Reply third = client.read();
        assertThat(third.body()).isEqualTo("three");
        assertThat(third.header("Keep-Alive")).isEqualTo("timeout=1");
        assertThat(instance.take().attemptId()).isEqualTo("1");
        assertThat(instance.take().attemptId()).isEqualTo("3");
    }

    @Test
    void exceededLimitsHaveTheirStatusCodes() throws Exception {
        ProxyFixture.Client tooLong = proxy.client();
        tooLong.send("GET /i/1 HTTP/1.1\r\nX: " + "y".repeat(3_000));
        assertThat(tooLong.read().status()).isEqualTo(431);
        ProxyFixture.Client tooMuch = proxy.client();
        tooMuch.send("POST /i/1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 10001\r\n\r\n");
        assertThat(tooMuch.read().status()).isEqualTo(413);
        ProxyFixture.Client slow = proxy.client();
        slow.send("GET /i/1 HTTP/1.1\r\n");
        assertThat(slow.read().status()).isEqualTo(408);
        assertThat(slow.isClosed()).isTrue();
        assertThat(proxy.client().isClosed()).as("idle timeout passed").isTrue();
    }

    @Test
    void requestsWithoutIdOrRouteOrKeyAreRejected() throws Exception {
        ProxyFixture.Client client = proxy.client();
        client.send("GET /i/1 HTTP/1.1\r\nHost: h.example\r\n\r\n");
        assertThat(client.read().status()).isEqualTo(400);
        assertThat(client.request("GET", "/nowhere/", "1", "").status()).isEqualTo(404);
        assertThat(client.request("POST", "/k/1", "1", "").status())
                .as("without an operation key")
                .isEqualTo(400);
    }

    @Test
    void atTheLimitTheLongestIdleConnectionIsClosed() throws Exception {
        proxy.close();
        proxy = new ProxyFixture(DESCRIPTORS_FOR_FOUR);
        proxy.instance("a", StubInstance.sealed("x"));
        ProxyFixture.Client[] clients = new ProxyFixture.Client[4];
        for (int i = 0; i < clients.length; i++) {
            clients[i] = proxy.client();
            assertThat(clients[i].request("GET", "/i/1", "a" + i, "").status()).isEqualTo(200);
        }
        assertThat(clients[0].request("GET", "/i/1", "again", "").status()).isEqualTo(200);
        ProxyFixture.Client fifth = proxy.client();
        assertThat(fifth.request("GET", "/i/1", "b", "").status()).isEqualTo(200);
        assertThat(clients[1].isClosed()).as("longest idle").isTrue();
        for (ProxyFixture.Client open : new ProxyFixture.Client[] {clients[0], clients[2], clients[3], fifth}) {
            assertThat(open.request("GET", "/i/1", "c", "").status()).isEqualTo(200);
        }
    }

    @Test
    void atTheLimitANewConnectionIsClosedIfNoneIsIdle() throws Exception {
        proxy.close();
        proxy = new ProxyFixture(DESCRIPTORS_FOR_FOUR);
        java.util.concurrent.CountDownLatch go = new java.util.concurrent.CountDownLatch(1);
        proxy.instance("a", (request, socket) -> {
            go.await();
            return StubInstance.sealed("x").respond(request, socket);
        });
        ProxyFixture.Client[] clients = new ProxyFixture.Client[4];
        for (int i = 0; i < clients.length; i++) {
            clients[i] = proxy.client();
            clients[i].send("GET /i/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + i + "\r\n\r\n");
            proxy.awaitInFlight(i + 1);
        }
        assertThat(proxy.client().isClosed()).isTrue();
        go.countDown();
        for (ProxyFixture.Client client : clients) {
            assertThat(client.read().body()).isEqualTo("x");
        }
    }

    @Test
    void drainingProxyFinishesRequestsAndCloses() throws Exception {
        proxy.instance("a", StubInstance.sealed("x"));
        ProxyFixture.Client idle = proxy.client();
        assertThat(idle.request("GET", "/i/1", "1", "").status()).isEqualTo(200);
        StubInstance slow = proxy.instance("b", (request, socket) -> {
            proxy.onLoop(() -> proxy.dataPath.drain(1_000, 5_000));
            return StubInstance.sealed("late").respond(request, socket);
        });
        proxy.control.instances = java.util.List.of(slow.instance("s"));
        proxy.onLoop(() -> proxy.control.listeners.forEach(l -> l.instancesChanged()));
        ProxyFixture.Client busy = proxy.client();
        ProxyFixture.Reply last = busy.request("GET", "/i/2", "2", "");
        assertThat(last.body()).isEqualTo("late");
        assertThat(last.header("Connection")).isEqualTo("close");
        assertThat(busy.isClosed()).isTrue();
        assertThat(idle.isClosed()).isTrue();
    }

    /** A slow client has not received its complete response when the proxy starts to drain. */
    @Test
    void drainingDoesNotTruncateAResponseThatIsBeingSent() throws Exception {
        String body = "x".repeat(LARGE_BODY_BYTES);
        StubInstance instance = proxy.instance("long", StubInstance.sealed(body));
        proxy.control.instances = java.util.List.of(instance.instance("s"));
        proxy.onLoop(() -> proxy.control.listeners.forEach(l -> l.instancesChanged()));
        try (Socket client = new Socket()) {
            client.setReceiveBufferSize(SMALL_BUFFER_BYTES);
            client.connect(proxy.dataPath.address());
            String request = "GET /i/9 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: 9\r\n"
                    + "X-Deadline-Remaining: 5000\r\n\r\n";
            client.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            byte[] first = client.getInputStream().readNBytes(1);
            int[] inFlight = new int[1];
            proxy.onLoop(() -> {
                inFlight[0] = proxy.dataPath.inFlight();
                proxy.dataPath.drain(1_000, 5_000);
            });
            assertThat(inFlight[0]).as("in flight while output is unsent").isEqualTo(1);
            byte[] rest = client.getInputStream().readAllBytes();
            assertThat(first.length + rest.length).isGreaterThan(LARGE_BODY_BYTES);
            assertThat(new String(rest, StandardCharsets.US_ASCII)).endsWith("xxx");
        }
    }

    /**
     * A connection whose last response is still being sent must not be closed as idle, neither at the connection limit
     * nor after the idle timeout.
     */
    @Test
    void connectionWithUnsentOutputIsNotIdle() throws Exception {
        proxy.close();
        proxy = new ProxyFixture(DESCRIPTORS_FOR_FOUR);
        proxy.instance("long", StubInstance.sealed("x".repeat(LARGE_BODY_BYTES)));
        try (Socket slow = new Socket()) {
            slow.setReceiveBufferSize(SMALL_BUFFER_BYTES);
            slow.connect(proxy.dataPath.address());
            slow.getOutputStream().write(SLOW_REQUEST.getBytes(StandardCharsets.US_ASCII));
            int first = slow.getInputStream().readNBytes(1).length;
            ProxyFixture.Client[] others = new ProxyFixture.Client[3];
            for (int i = 0; i < others.length; i++) {
                others[i] = proxy.client();
                assertThat(others[i].request("GET", "/none", "o" + i, "").status())
                        .isEqualTo(404);
            }
            ProxyFixture.Client fifth = proxy.client();
            assertThat(fifth.request("GET", "/none", "f", "").status()).isEqualTo(404);
            assertThat(others[0].isClosed()).as("longest idle").isTrue();
            assertThat(fifth.isClosed()).as("idle timeout passed").isTrue();
            byte[] rest = slow.getInputStream().readAllBytes();
            assertThat(first + rest.length).isGreaterThan(LARGE_BODY_BYTES);
            assertThat(new String(rest, StandardCharsets.US_ASCII)).endsWith("xxx");
        }
    }
}
