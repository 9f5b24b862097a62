package ridgemill.cdn.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** Tests limits that apply to a fleet of edge proxies as a whole. */
class FleetLimitsTest {

    private static final int PROXIES = 40;
    private static final double MS_PER_SECOND = 1_000;
    private static final String SEALED = "X-Response-Seal: s\r\nETag: \"1\"\r\n";

    /** New objects appear at a quarter of the origin's rate limit, and each is read at every proxy. */
    @Test
    void objectIsFetchedOnceForTheWholeFleet() throws Exception {
        int objects = 10;
        double ratePerSecond = 20;
        try (FleetFixture fleet = new FleetFixture(PROXIES, ratePerSecond, 500)) {
            StubInstance origin = fleet.instance(
                    "a",
                    (request, socket) ->
                            StubInstance.write(socket, StubInstance.response(request, 200, SEALED, "object")));
            int answered = 0;
            for (int object = 0; object < objects; object++) {
                fleet.advanceTime(4 * MS_PER_SECOND / ratePerSecond);
                for (int proxy = 0; proxy < PROXIES; proxy++) {
                    ProxyFixture.Reply reply =
                            fleet.client(proxy).request("GET", "/c/" + object, object + "-" + proxy, "");
                    answered += reply.status() == 200 ? 1 : 0;
                }
            }
            assertThat(answered).isGreaterThanOrEqualTo((int) (0.95 * objects * PROXIES));
            assertThat(origin.received).hasSizeLessThanOrEqualTo(2 * objects);
        }
    }

    /** Concurrent requests at all proxies must not open more connections than the instances accept. */
    @Test
    void connectionsOfTheFleetStayWithinTheCapOfEachInstance() throws Exception {
        int cap = 24;
        CountDownLatch released = new CountDownLatch(1);
        StubInstance.Script blocking = (request, socket) -> {
            released.await();
            return StubInstance.write(socket, StubInstance.response(request, 200, SEALED, "done"));
        };
        try (FleetFixture fleet = new FleetFixture(PROXIES, 0, cap)) {
            List<StubInstance> instances = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                instances.add(fleet.instance("i" + i, blocking));
            }
            List<ProxyFixture.Client> clients = new ArrayList<>();
            for (int request = 0; request < 4; request++) {
                for (int proxy = 0; proxy < PROXIES; proxy++) {
                    ProxyFixture.Client client = fleet.client(proxy);
                    client.send("GET /i/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + request + "-" + proxy
                            + "\r\n\r\n");
                    clients.add(client);
                }
            }
            for (StubInstance instance : instances) {
                instance.take();
            }
            released.countDown();
            for (ProxyFixture.Client client : clients) {
                assertThat(client.read().status()).isIn(200, 503);
            }
            for (int proxy = 0; proxy < PROXIES; proxy++) {
                assertThat(isEventuallyServed(fleet, proxy))
                        .as("proxy %d has a share of the connections", proxy)
                        .isTrue();
            }
            for (StubInstance instance : instances) {
                assertThat(instance.connections()).isLessThanOrEqualTo(cap);
            }
        }
    }

    /**
     * Retries until a request is served: on a busy machine a connection may be established too late for one request.
     */
    private static boolean isEventuallyServed(FleetFixture fleet, int proxy) throws Exception {
        for (int attempt = 0; attempt < 100; attempt++) {
            String id = "later-" + proxy + "-" + attempt;
            if (fleet.client(proxy).request("GET", "/i/1", id, "").status() == 200) {
                return true;
            }
            fleet.advanceTime(200);
        }
        return false;
    }
}
