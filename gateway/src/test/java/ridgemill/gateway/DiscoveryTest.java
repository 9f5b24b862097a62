package ridgemill.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import ridgemill.policy.Router.Availability;
import ridgemill.policy.Router.ListUpdateKind;

/** The watch: what it tells is applied line by line, and it comes back from where it broke. */
class DiscoveryTest {

    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private Site site;

    @BeforeEach
    void start() throws Exception {
        site = new Site();
    }

    @AfterEach
    void stop() throws Exception {
        site.close();
    }

    private static void line(Peer.Wire watch, String text) throws IOException {
        watch.write(Integer.toHexString(text.length() + 1) + "\r\n" + text + "\n\r\n");
    }

    private Peer.Wire watch(long from) throws Exception {
        Peer.Message asked = site.discovery.next();
        while (asked.text() == null) {
            asked = site.discovery.next();
        }
        assertEquals("GET /discovery/hosts?watch=1&from=" + from + " HTTP/1.1", asked.firstLine());
        return asked.wire();
    }

    /** What discovery has to say may take seconds where a whole fleet starts anew; a warm-up takes as many. */
    @Test
    void itIsAskedAndHeardBeforeClientsAreTaken() throws Exception {
        List<Scripted.Told> told = new ArrayList<>();
        site.service = Service.start(site.config("automatic", "60000", ""), site.router, () -> {
            Peer.Wire watch = site.discovery.next().wire();
            watch.write(HEAD);
            line(watch, Site.list(9, true, Site.host("c1", "127.0.0.1:9", "up", 5)));
            told.add(Scripted.next(site.router.lists));
            told.add(Scripted.next(site.router.lists));
        });
        assertEquals(List.of(ListUpdateKind.REMEMBERED, ListUpdateKind.FULL), told.stream().map(Scripted.Told::kind).toList());
    }

    @Test
    void linesApplyAtOnceAndBadOnesAreDropped() throws Exception {
        site.start("automatic", "60000", "");
        assertEquals(ListUpdateKind.REMEMBERED, Scripted.next(site.router.lists).kind());
        Peer.Wire watch = watch(7);
        watch.write(HEAD);
        line(watch, "");
        line(watch, "{\"seq\":8,\"whole\":false,\"hosts\":[{\"host\":\"c9\"}]}");
        line(watch, "not json");
        line(watch, Site.list(9, false, Site.host("c1", "127.0.0.1:9", "draining", 5)));
        Scripted.Told told = Scripted.next(site.router.lists);
        assertEquals(ListUpdateKind.CHANGES, told.kind());
        assertEquals(9, told.version());
        assertEquals(Availability.DRAINING, told.entries().get(0).availability());
        assertEquals(5, told.entries().get(0).startedAtMs());
        watch.close();
        Peer.Wire again = watch(9);
        again.write(HEAD);
        line(again, Site.list(12, true, Site.host("c1", "127.0.0.1:9", "up", 0)));
        assertEquals(ListUpdateKind.FULL, Scripted.next(site.router.lists).kind());
    }

    @Test
    void aWatchThatFallsSilentIsOpenedAnew() throws Exception {
        site.start("automatic", "60000", "");
        Peer.Wire watch = watch(7);
        watch.write(HEAD);
        line(watch, Site.list(8, false));
        watch(8);
    }

    @Test
    void aHostThatStartedAnewGetsNewConnections() throws Exception {
        site.start("automatic", "60000", "");
        Peer.Wire watch = watch(7);
        watch.write(HEAD);
        try (Peer.Wire client = site.client()) {
            client.write(site.get(Site.LONG_S));
            Peer.Message first = site.node.next();
            first.wire().answer(200, "v");
            client.read();
            line(watch, Site.list(8, false, Site.host("c0", site.node.dial(), "up", 99)));
            assertNull(site.node.next().text(), "the idle connection to the old process is closed");
            client.write(site.get(Site.LONG_S));
            Peer.Message second = site.node.next();
            assertEquals(first.wire().number() + 1, second.wire().number());
            line(watch, Site.list(9, false, Site.host("c0", site.node.dial(), "up", 100)));
            Scripted.next(site.router.lists);
            Scripted.next(site.router.lists);
            Scripted.next(site.router.lists);
            second.wire().answer(200, "v");
            client.read();
            assertNull(site.node.next().text(), "nor is one kept that was busy when the news came");
        }
    }

    @Test
    void readyOnceDiscoveryHasSpoken() throws Exception {
        site.start("automatic", "60000", "");
        Peer.Wire watch = watch(7);
        watch.write(HEAD);
        line(watch, Site.list(9, false));
        Scripted.next(site.router.lists);
        Scripted.next(site.router.lists);
        try (Peer.Wire client = site.client()) {
            client.write("GET /up HTTP/1.1\r\nHost: s\r\n\r\n");
            assertEquals(200, Site.status(client.read()));
        }
    }

    @Test
    void whereItIsAskedABrokenWatchIsReportedAndTheRouterDecides() throws Exception {
        site.router.subscribes = true;
        site.start("subscribe", "60000", "");
        assertEquals(ListUpdateKind.REMEMBERED, Scripted.next(site.router.lists).kind());
        Peer.Wire watch = watch(7);
        watch.write("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n");
        assertEquals(ListUpdateKind.REFUSED, Scripted.next(site.router.lists).kind());
        assertNull(site.discovery.next().text());
        assertTrue(site.discovery.heardNothing());
    }

    @Test
    void idleConnectionsCloseBeforeTheNodeCloses() throws Exception {
        site.start("automatic", "200", "");
        try (Peer.Wire client = site.client()) {
            client.write(site.get(Site.LONG_S));
            site.node.next().wire().answer(200, "v");
            client.read();
            assertNull(site.node.next().text());
        }
    }
}
