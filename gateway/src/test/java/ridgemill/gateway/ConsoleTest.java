package ridgemill.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import ridgemill.gateway.console.Console;

/** What operators read of a proxy is what its peers saw, whoever else calls. */
@Timeout(Peer.PATIENCE_S)
class ConsoleTest {

    private Site site;

    @BeforeEach
    void start() throws Exception {
        site = new Site();
        site.maxOpen = 100;
        site.start("automatic", "60000", "\"console\":\"127.0.0.1:0\",");
    }

    @AfterEach
    void stop() throws Exception {
        site.close();
    }

    private String call(String text) throws Exception {
        try (Peer.Wire caller = Peer.connect(site.service.consoleListenAddress())) {
            caller.write(text);
            String answer = caller.read();
            assertNull(caller.read(), "one call to a connection");
            return answer;
        }
    }

    private String get(String path) throws Exception {
        return call("GET " + path + " HTTP/1.1\r\nHost: c\r\n\r\n");
    }

    private JsonObject figures() throws Exception {
        String answer = get("/status/metrics");
        assertEquals(200, Site.status(answer));
        return JsonParser.parseString(answer.substring(answer.indexOf("\r\n\r\n"))).getAsJsonObject();
    }

    private void untilUp() throws Exception {
        while (Site.status(get("/status")) != 200) {
            Thread.onSpinWait();
        }
    }

    private static void assertCount(int wanted, JsonObject figures, String name, String service) {
        assertEquals(wanted, figures.getAsJsonObject(name).get(service).getAsInt(), name + " " + service + " in " + figures);
    }

    @Test
    void tellsWhenItServesAndWhenItDrains() throws Exception {
        untilUp();
        site.service.beginDrain();
        site.service.runOnLoop(() -> { });
        String answer = get("/status");
        assertEquals(503, Site.status(answer));
        assertTrue(answer.contains("draining"), answer);
    }

    @Test
    void saysNoBeforeItListensForClients() throws Exception {
        Site starting = new Site();
        List<String> said = new ArrayList<>();
        Config config = starting.config("automatic", "60000", "\"console\":\"127.0.0.1:" + freePort() + "\",");
        try {
            starting.service = Service.start(config, starting.router, () -> {
                try (Peer.Wire caller = Peer.connect(config.console())) {
                    caller.write("GET /status HTTP/1.1\r\nHost: c\r\n\r\n");
                    said.add(caller.read());
                }
            });
            assertEquals(503, Site.status(said.get(0)));
            assertTrue(said.get(0).contains("warming up"), said.get(0));
        } finally {
            starting.close();
        }
    }

    private static int freePort() throws Exception {
        try (java.net.ServerSocket any = new java.net.ServerSocket(0)) {
            return any.getLocalPort();
        }
    }

    @Test
    void figuresAreWhatPeersSaw() throws Exception {
        for (String service : List.of("read", "pay")) {
            for (String name : List.of("passed", "dropped", "bad_gateway")) {
                assertCount(0, figures(), name, service);
            }
        }
        try (Peer.Wire client = site.client()) {
            client.write(site.get(Site.LONG_S));
            Peer.Wire node = site.node.next().wire();
            assertEquals(1, figures().get("in_progress").getAsInt());
            node.answer(200, "v");
            client.read();
            site.router.onRequest = (request, out) -> out.refuse(request.id(), 0);
            client.write(site.get(Site.LONG_S));
            assertEquals(503, Site.status(client.read()));
            site.router.onRequest = (request, out) -> out.fail(request.id());
            client.write(Site.put("Idempotency-Key: k\r\n", "v"));
            assertEquals(502, Site.status(client.read()));
            JsonObject figures = figures();
            assertCount(1, figures, "passed", "read");
            assertCount(1, figures, "dropped", "read");
            assertCount(1, figures, "bad_gateway", "pay");
            assertCount(0, figures, "bad_gateway", "read");
            assertEquals(1, figures.get("upstream_tries").getAsInt());
            assertEquals(0, figures.get("in_progress").getAsInt());
            assertEquals(1, figures.get("known_cache_nodes").getAsInt());
        }
    }

    /** More of them than there are places: the oldest go, and a call that is made whole is answered. */
    @Test
    void callersThatStayKeepNobodyOut() throws Exception {
        List<Peer.Wire> stay = new ArrayList<>();
        for (int i = 0; i < 3 * Console.MAX_CALLERS; i++) {
            stay.add(Peer.connect(site.service.consoleListenAddress()));
            stay.get(i).write(i % 2 == 0 ? "" : "GET /status/met");
            if (i % 5 == 0) {
                figures();
            }
        }
        figures();
        assertNull(stay.get(0).read(), "the oldest was let go");
        for (Peer.Wire caller : stay) {
            caller.close();
        }
    }

    @Test
    void eachNonsenseHasItsAnswer() throws Exception {
        assertEquals(404, Site.status(get("/")));
        assertEquals(405, Site.status(call("POST /status HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n")));
        assertEquals(400, Site.status(call("what is this?\r\n\r\n")));
        assertEquals(431, Site.status(call("GET /status HTTP/1.1\r\nHost: c\r\nX: " + "x".repeat(20_000) + "\r\n\r\n")));
        assertEquals(431, Site.status(call("GET /" + "x".repeat(20_000) + " HTTP/1.1\r\nHost: c\r\n\r\n")));
    }
}
