package ridgemill.cdn.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import ridgemill.cdn.config.Destination;
import ridgemill.cdn.config.Route;
import ridgemill.cdn.config.RouteKind;

/** Tests caching of objects, purges and range requests. */
class CacheTest {

    private static final String HEADERS = "X-Response-Seal: s\r\nETag: \"1\"\r\nX-Object-Tags: t1 t2\r\n";

    private static final double CACHE_TTL_MS = 60_000;
    private static final long FETCH_TIMEOUT_MS = 1_200;

    private ProxyFixture proxy;
    private StubInstance origin;

    @BeforeEach
    void start() throws Exception {
        proxy = new ProxyFixture();
        origin = proxy.instance("a", object("0123456789"));
    }

    @AfterEach
    void stop() throws Exception {
        proxy.close();
    }

    private static StubInstance.Script object(String body) {
        return (request, socket) -> StubInstance.write(
                socket,
                "\"1\"".equals(request.header("If-None-Match"))
                        ? "HTTP/1.1 304 X\r\nX-Attempt-Id: " + request.attemptId() + "\r\nETag: \"1\"\r\n\r\n"
                        : StubInstance.response(request, 200, HEADERS, body));
    }

    private void purgePath(String path) throws Exception {
        proxy.onLoop(() -> proxy.control.listeners.forEach(l -> l.pathPurged("h.example", path, proxy.timers.now())));
    }

    private void purgeTag(String tag) throws Exception {
        proxy.onLoop(() -> proxy.control.listeners.forEach(l -> l.tagPurged(tag, proxy.timers.now())));
    }

    @Test
    void copyIsServedToOtherRequestsWithItsSeal() throws Exception {
        proxy.request("GET", "/c/1", "1", "");
        ProxyFixture.Reply reply = proxy.request("GET", "/c/1", "2", "");
        assertThat(reply.body()).isEqualTo("0123456789");
        assertThat(reply.header("X-Response-Seal")).isEqualTo("s");
        assertThat(reply.header("X-Attempt-Id")).isEqualTo("2");
        assertThat(proxy.request("GET", "/c/1", "3", "If-None-Match: \"1\"\r\n").status())
                .isEqualTo(304);
        assertThat(origin.received).hasSize(1);
    }

    @Test
    void rangesAreServedFromTheCompleteObject() throws Exception {
        ProxyFixture.Reply partial = proxy.request("GET", "/c/1", "1", "Range: bytes=2-4\r\nIf-None-Match: \"0\"\r\n");
        assertThat(partial.status()).isEqualTo(206);
        assertThat(partial.body()).isEqualTo("234");
        assertThat(partial.header("Content-Range")).isEqualTo("bytes 2-4/10");
        assertThat(partial.header("X-Response-Seal")).isEqualTo("s");
        assertThat(proxy.request("GET", "/c/1", "2", "Range: bytes=7-\r\n").body())
                .isEqualTo("789");
        ProxyFixture.Reply beyond = proxy.request("GET", "/c/1", "3", "Range: bytes=10-\r\n");
        assertThat(beyond.status()).isEqualTo(416);
        assertThat(beyond.header("Content-Range")).isEqualTo("bytes */10");
        StubInstance.Received fetch = origin.take();
        assertThat(fetch.header("Range")).isNull();
        assertThat(fetch.header("If-None-Match")).isNull();
        assertThat(origin.received).isEmpty();
    }

    @Test
    void purgedCopiesAreFetchedAgain() throws Exception {
        proxy.request("GET", "/c/1", "1", "");
        purgePath("/c/1");
        proxy.request("GET", "/c/1", "2", "");
        purgeTag("t2");
        proxy.request("GET", "/c/1", "3", "");
        purgeTag("unknown");
        proxy.request("GET", "/c/1", "4", "");
        assertThat(origin.received).hasSize(3);
    }

    @Test
    void copyThatMayHaveMissedAPurgeIsRevalidated() throws Exception {
        proxy.request("GET", "/c/1", "1", "");
        proxy.control.coveredSinceMs = proxy.timers.now();
        assertThat(proxy.request("GET", "/c/1", "2", "").body()).isEqualTo("0123456789");
        proxy.request("GET", "/c/1", "3", "");
        assertThat(origin.take().header("If-None-Match")).isNull();
        assertThat(origin.take().header("If-None-Match")).isEqualTo("\"1\"");
        assertThat(origin.received).isEmpty();
    }

    @Test
    void fetchPurgedInFlightServesOnlyRequestsFromBeforeThePurge() throws Exception {
        for (boolean byTag : new boolean[] {true, false}) {
            String path = "/c/" + byTag;
            CountDownLatch purged = new CountDownLatch(1);
            origin.script = (request, socket) -> {
                purged.await();
                return object(request.attemptId()).respond(request, socket);
            };
            ProxyFixture.Client before = proxy.client();
            before.send("GET " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: before\r\n\r\n");
            origin.take();
            if (byTag) {
                purgeTag("t1");
            } else {
                purgePath(path);
            }
            ProxyFixture.Client after = proxy.client();
            after.send("GET " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: after\r\n\r\n");
            proxy.awaitInFlight(2);
            purged.countDown();
            assertThat(before.read().body()).isEqualTo("before");
            assertThat(after.read().body()).isEqualTo("after");
            assertThat(proxy.request("GET", path, "last", "").body()).isEqualTo("after");
            origin.take();
        }
    }

    /** Sends the same read from several clients and waits until all are in flight. */
    private ProxyFixture.Client[] sendFromClients(int count) throws Exception {
        ProxyFixture.Client[] clients = new ProxyFixture.Client[count];
        for (int i = 0; i < count; i++) {
            clients[i] = proxy.client();
            clients[i].send("GET /c/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + i + "\r\n\r\n");
        }
        proxy.awaitInFlight(count);
        return clients;
    }

    @Test
    void requestsShareOneFetchAlsoWhilePurgesMayBeMissed() throws Exception {
        proxy.control.receivesPurges = false;
        CountDownLatch go = new CountDownLatch(1);
        origin.script = (request, socket) -> {
            go.await();
            return object("x").respond(request, socket);
        };
        ProxyFixture.Client[] clients = sendFromClients(5);
        go.countDown();
        for (ProxyFixture.Client client : clients) {
            assertThat(client.read().status()).isEqualTo(200);
        }
        assertThat(origin.received).hasSize(1);
        proxy.request("GET", "/c/1", "later", "");
        assertThat(origin.received).as("the copy is not served to others").hasSize(2);
    }

    @Test
    void requestsShareOneFetchAndOneOfThemRetriesIfItFails() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        origin.script = (request, socket) -> {
            go.await();
            origin.script = object("x");
            return false;
        };
        ProxyFixture.Client[] clients = sendFromClients(5);
        go.countDown();
        int good = 0;
        for (ProxyFixture.Client client : clients) {
            good += client.read().status() == 200 ? 1 : 0;
        }
        assertThat(good).isEqualTo(clients.length - 1);
        assertThat(origin.received).hasSize(2);
    }

    @Test
    void frequentlyRequestedCopyIsRefreshedOnceBeforeItExpires() throws Exception {
        for (int i = 0; i < 8; i++) {
            proxy.request("GET", "/c/1", "a" + i, "");
        }
        proxy.timers.advance(CACHE_TTL_MS * 0.8);
        proxy.request("GET", "/c/1", "early", "");
        assertThat(origin.received).hasSize(1);
        CountDownLatch go = new CountDownLatch(1);
        origin.script = (request, socket) -> {
            go.await();
            return object("x").respond(request, socket);
        };
        proxy.timers.advance(CACHE_TTL_MS * 0.1);
        for (int i = 0; i < 20; i++) {
            assertThat(proxy.request("GET", "/c/1", "b" + i, "").body())
                    .as("served from the copy without waiting")
                    .isEqualTo("0123456789");
        }
        assertThat(origin.take().header("If-None-Match")).isNull();
        assertThat(origin.take().header("If-None-Match")).isEqualTo("\"1\"");
        assertThat(origin.received).isEmpty();
        go.countDown();
        proxy.timers.advance(CACHE_TTL_MS * 0.2);
        assertThat(proxy.request("GET", "/c/1", "last", "").body()).isEqualTo("0123456789");
        assertThat(origin.received).as("the refreshed copy is still fresh").isEmpty();
    }

    @Test
    void rarelyRequestedCopyIsNotRefreshedBeforeItExpires() throws Exception {
        proxy.request("GET", "/c/1", "1", "");
        proxy.timers.advance(CACHE_TTL_MS * 0.95);
        for (int i = 0; i < 7; i++) {
            proxy.request("GET", "/c/1", "a" + i, "");
        }
        assertThat(origin.received).hasSize(1);
    }

    @Test
    void refreshAheadDoesNotUseTheOriginShareThatClientsNeed() throws Exception {
        proxy.onLoop(() -> {
            proxy.control.setRoutes(
                    ProxyFixture.LIMITS, 1, ProxyFixture.route(ridgemill.cdn.config.RouteKind.CACHEABLE, "/c/", 2));
            proxy.control.listeners.forEach(l -> l.configurationChanged());
        });
        for (int i = 0; i < 9; i++) {
            proxy.request("GET", "/c/1", "a" + i, "");
        }
        proxy.timers.advance(CACHE_TTL_MS * 0.9);
        proxy.request("GET", "/c/1", "b", "");
        assertThat(proxy.request("GET", "/c/2", "client", "").status())
                .as("a share of one request at a time has no spare capacity")
                .isEqualTo(200);
        assertThat(origin.take().attemptId()).isEqualTo("a0");
        assertThat(origin.take().attemptId()).isEqualTo("client");
        assertThat(origin.received).isEmpty();
    }

    @Test
    void responsesToPostAreNotCached() throws Exception {
        proxy.request("POST", "/c/1", "1", "");
        proxy.request("POST", "/c/1", "2", "");
        assertThat(origin.received).hasSize(2);
    }

    /**
     * Guards against an object that is never served again: a fetch that its instance did not answer had no end, and
     * each request for the object joined it.
     */
    @Test
    void fetchThatIsNeverAnsweredEndsAtItsDeadline() throws Exception {
        proxy.setRoutes(new Route(
                "/c/",
                "h.example",
                "/c/",
                RouteKind.CACHEABLE,
                FETCH_TIMEOUT_MS,
                100,
                0,
                List.of(new Destination("s", 1)),
                1,
                60_000,
                1));
        CountDownLatch never = new CountDownLatch(1);
        origin.script = (request, socket) -> {
            if (request.attemptId().equals("1")) {
                never.await();
            }
            return object("0123456789").respond(request, socket);
        };
        ProxyFixture.Client first = proxy.client();
        first.send(pull("1", "X-Deadline-Remaining: " + FETCH_TIMEOUT_MS / 3 + "\r\n"));
        origin.take();
        ProxyFixture.Client second = proxy.client();
        second.send(pull("2", ""));
        assertThat(first.read().status()).isGreaterThanOrEqualTo(500);
        // Joins the fetch while the second request still waits for it.
        ProxyFixture.Client third = proxy.client();
        third.send(pull("3", ""));
        assertThat(third.read().body()).isEqualTo("0123456789");
        assertThat(proxy.request("GET", "/c/1", "4", "").body()).isEqualTo("0123456789");
    }

    private static String pull(String id, String extraHeaders) {
        return "GET /c/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id + "\r\n" + extraHeaders + "\r\n";
    }
}
