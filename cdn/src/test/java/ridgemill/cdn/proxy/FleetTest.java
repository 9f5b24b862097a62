package ridgemill.cdn.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** What a whole fleet of edge proxies does with bounds that hold for all of it together. */
class FleetTest {

    private static final int PROXIES = 40;
    private static final double MS_PER_SECOND = 1_000;
    private static final String SEALED = "X-Response-Seal: s\r\nETag: \"1\"\r\n";

    /** New objects come at a quarter of the origin's rate, and each is read at every proxy. */
    @Test
    void anObjectIsFetchedForTheWholeFleetAndNotByEachProxy() throws Exception {
        int objects = 10;
        double ratePerSecond = 20;
        try (FleetFixture fleet = new FleetFixture(PROXIES, ratePerSecond, 500)) {
            StandInInstance origin = fleet.instance(
                    "a",
                    (request, socket) ->
                            StandInInstance.write(socket, StandInInstance.answer(request, 200, SEALED, "object")));
            int answered = 0;
            for (int object = 0; object < objects; object++) {
                fleet.timePasses(4 * MS_PER_SECOND / ratePerSecond);
                for (int proxy = 0; proxy < PROXIES; proxy++) {
                    ProxyFixture.Reply reply = fleet.client(proxy).ask("GET", "/c/" + object, object + "-" + proxy, "");
                    answered += reply.status() == 200 ? 1 : 0;
                }
            }
            assertThat(answered).isGreaterThanOrEqualTo((int) (0.95 * objects * PROXIES));
            assertThat(origin.received).hasSizeLessThanOrEqualTo(2 * objects);
        }
    }

    /** Requests of all proxies at once don't open more connections than the instances take. */
    @Test
    void connectionsOfTheWholeFleetStayWithinEachInstancesCap() throws Exception {
        int cap = 24;
        CountDownLatch held = new CountDownLatch(1);
        StandInInstance.Script holding = (request, socket) -> {
            held.await();
            return StandInInstance.write(socket, StandInInstance.answer(request, 200, SEALED, "done"));
        };
        try (FleetFixture fleet = new FleetFixture(PROXIES, 0, cap)) {
            List<StandInInstance> instances = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                instances.add(fleet.instance("i" + i, holding));
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
            for (StandInInstance instance : instances) {
                instance.take();
            }
            held.countDown();
            for (ProxyFixture.Client client : clients) {
                assertThat(client.read().status()).isIn(200, 503);
            }
            for (int proxy = 0; proxy < PROXIES; proxy++) {
                assertThat(isServedInTime(fleet, proxy))
                        .as("no part is so small that proxy %d is left out", proxy)
                        .isTrue();
            }
            for (StandInInstance instance : instances) {
                assertThat(instance.connections()).isLessThanOrEqualTo(cap);
            }
        }
    }

    /** Asks until it is answered: on a busy machine a connection may come up too late for one request. */
    private static boolean isServedInTime(FleetFixture fleet, int proxy) throws Exception {
        for (int attempt = 0; attempt < 100; attempt++) {
            String id = "later-" + proxy + "-" + attempt;
            if (fleet.client(proxy).ask("GET", "/i/1", id, "").status() == 200) {
                return true;
            }
            fleet.timePasses(200);
        }
        return false;
    }
}
