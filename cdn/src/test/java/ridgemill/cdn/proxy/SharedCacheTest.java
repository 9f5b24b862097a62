package ridgemill.cdn.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import ridgemill.cdn.config.RouteKind;
import ridgemill.cdn.membership.CacheNode;

/**
 * Tests reads through shared caches: freshness, purges that one side has not received, and shared caches that are
 * unreachable or outdated.
 */
class SharedCacheTest {

    private static final int PROXIES = 3;
    private static final double PURGE_DEADLINE_MS = 2_000;
    private static final double CACHE_TTL_MS = 60_000;

    private final AtomicInteger originVersion = new AtomicInteger();
    private FleetFixture fleet;
    private StubInstance origin;

    @BeforeEach
    void start() throws Exception {
        fleet = new FleetFixture(PROXIES, 0, 500);
        origin = fleet.instance("a", (request, socket) -> {
            String body = "v" + originVersion.incrementAndGet();
            String headers = "X-Response-Seal: s\r\nETag: \"" + body + "\"\r\nX-Object-Tags: t1 t2\r\n";
            return StubInstance.write(socket, StubInstance.response(request, 200, headers, body));
        });
    }

    @AfterEach
    void stop() throws Exception {
        fleet.close();
    }

    private ProxyFixture.Reply read(int proxy, String id) throws Exception {
        return fleet.client(proxy).request("GET", "/c/1", id, "");
    }

    @Test
    void copyOfASharedCacheIsServedWithItsSealAndWithoutInternalHeaders() throws Exception {
        read(0, "1");
        ProxyFixture.Reply reply = read(1, "2");
        assertThat(reply.body()).isEqualTo("v1");
        assertThat(reply.header("X-Response-Seal")).isEqualTo("s");
        assertThat(reply.header("X-Attempt-Id")).isEqualTo("2");
        assertThat(reply.head()).doesNotContain("X-Ridgemill");
        assertThat(origin.take().head()).doesNotContain("X-Ridgemill");
        assertThat(fleet.client(2)
                        .request("GET", "/c/1", "3", "If-None-Match: \"v1\"\r\n")
                        .status())
                .isEqualTo(304);
        assertThat(originVersion).hasValue(1);
    }

    @Test
    void ageOfACopyCountsFromItsFetchAcrossProcesses() throws Exception {
        read(0, "1");
        fleet.advanceTime(40_000);
        assertThat(read(1, "2").body()).isEqualTo("v1");
        fleet.advanceTime(25_000);
        assertThat(read(1, "3").body())
                .as("65 s after the fetch, with a TTL of 60 s")
                .isEqualTo("v2");
    }

    @Test
    void copyOlderThanAPurgeIsFetchedAgainBeforeTheSharedCacheReceivesThePurge() throws Exception {
        read(0, "1");
        fleet.advanceTime(100);
        fleet.onProxy(1, control -> control.listeners.forEach(l -> l.pathPurged("h.example", "/c/1", fleet.now())));
        assertThat(read(1, "2").body()).isEqualTo("v2");
        fleet.advanceTime(100);
        fleet.onProxy(2, control -> control.listeners.forEach(l -> l.tagPurged("t2", fleet.now())));
        assertThat(read(2, "3").body()).isEqualTo("v3");
        assertThat(read(2, "4").body()).isEqualTo("v3");
    }

    @Test
    void sharedCacheThatCannotReceivePurgesServesNoCopy() throws Exception {
        read(0, "1");
        fleet.onCaches(control -> control.receivesPurges = false);
        assertThat(read(1, "2").body()).isEqualTo("v2");
        fleet.onCaches(control -> control.receivesPurges = true);
        assertThat(read(2, "3").body()).isEqualTo("v2");
    }

    @Test
    void copyOfASharedCacheThatMissedAPurgeIsNotKeptByAProxyThatStartedAfterThePurge() throws Exception {
        read(0, "1");
        fleet.advanceTime(500);
        fleet.onProxy(1, control -> control.coveredSinceMs = fleet.now());
        read(1, "2");
        fleet.advanceTime(PURGE_DEADLINE_MS + 1_000);
        fleet.onCaches(control -> control.receivesPurges = false);
        assertThat(read(1, "3").body()).isEqualTo("v2");
    }

    @Test
    void copyOlderThanAPurgeIsNotServedIfAnotherPurgeArrivesDuringTheFetch() throws Exception {
        CountDownLatch secondPurge = new CountDownLatch(1);
        AtomicInteger answers = new AtomicInteger();
        StubInstance sharedCache = new StubInstance("stub", (request, socket) -> {
            boolean first = answers.getAndIncrement() == 0;
            if (first) {
                secondPurge.await();
            }
            String headers = "X-Response-Seal: s\r\nX-Ridgemill-Age: " + (first ? 5_000 : 0) + "\r\n";
            return StubInstance.write(
                    socket, StubInstance.response(request, 200, headers, first ? "purged" : "current"));
        });
        try (sharedCache) {
            fleet.setSharedCaches(
                    List.of(new CacheNode("stub", sharedCache.instance("s").address(), "z")));
            fleet.onProxy(0, control -> control.listeners.forEach(l -> l.pathPurged("h.example", "/c/1", fleet.now())));
            fleet.advanceTime(PURGE_DEADLINE_MS + 1_000);
            ProxyFixture.Client client = fleet.client(0);
            client.send("GET /c/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: 1\r\n\r\n");
            sharedCache.take();
            fleet.onProxy(0, control -> control.listeners.forEach(l -> l.pathPurged("h.example", "/c/1", fleet.now())));
            secondPurge.countDown();
            assertThat(client.read().body()).isEqualTo("current");
        }
    }

    @Test
    void copyThatExpiredBeforeARequestJoinedItsFetchIsNotServedToThatRequest() throws Exception {
        CountDownLatch joined = new CountDownLatch(1);
        AtomicInteger answers = new AtomicInteger();
        StubInstance sharedCache = new StubInstance("stub", (request, socket) -> {
            boolean first = answers.getAndIncrement() == 0;
            if (first) {
                joined.await();
            }
            double ageMs = first ? CACHE_TTL_MS - 100 : 0;
            String headers =
                    "X-Response-Seal: s\r\nX-Ridgemill-Unconfirmed: 0\r\nX-Ridgemill-Age: " + (long) ageMs + "\r\n";
            return StubInstance.write(socket, StubInstance.response(request, 200, headers, first ? "old" : "new"));
        });
        try (sharedCache) {
            fleet.setSharedCaches(
                    List.of(new CacheNode("stub", sharedCache.instance("s").address(), "z")));
            ProxyFixture.Client before = fleet.client(0);
            before.send("GET /c/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: 1\r\n\r\n");
            sharedCache.take();
            fleet.advanceTime(200);
            ProxyFixture.Client after = fleet.client(0);
            after.send("GET /c/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: 2\r\n\r\n");
            fleet.awaitInFlight(0, 2);
            joined.countDown();
            assertThat(before.read().body()).isEqualTo("old");
            assertThat(after.read().body()).isEqualTo("new");
        }
    }

    @Test
    void instancesAreUsedIfNoSharedCacheIsReachable() throws Exception {
        fleet.setSharedCaches(
                List.of(new CacheNode("gone", "127.0.0.1:1", "z"), new CacheNode("gone2", "127.0.0.1:2", "z")));
        assertThat(read(0, "1").body()).isEqualTo("v1");
        fleet.setSharedCaches(List.of());
        assertThat(read(1, "2").body()).isEqualTo("v2");
    }

    @Test
    void sharedCacheWithAnOlderRouteVersionIsBypassed() throws Exception {
        fleet.onProxy(
                0,
                control -> control.setRoutes(
                        ProxyFixture.LIMITS,
                        0,
                        ProxyFixture.nextVersion(ProxyFixture.route(RouteKind.CACHEABLE, "/c/", 2))));
        assertThat(read(0, "1").body()).isEqualTo("v1");
        assertThat(read(1, "2").body()).as("the shared cache holds no copy").isEqualTo("v2");
    }

    @Test
    void instanceFailureIsForwardedAndRetriedWithinTheRoutesAttempts() throws Exception {
        origin.script = (request, socket) ->
                StubInstance.write(socket, StubInstance.response(request, 500, "X-Response-Seal: s\r\n", "failed"));
        ProxyFixture.Reply reply = read(0, "1");
        assertThat(reply.status()).isEqualTo(500);
        assertThat(origin.received).hasSizeBetween(1, 2);
    }
}
