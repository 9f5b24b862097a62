package ridgemill.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import ridgemill.gateway.net.Content;
import ridgemill.policy.Router.AttemptResult;
import ridgemill.policy.Router.Outcome;

/** What a node's connection shows becomes the outcome that the protocol names, and the pool stays clean. */
class OutcomeTest extends WithSite {

    @ParameterizedTest
    @CsvSource({"200, X-Other: 1, OK", "404, X-Other: 1, MISS", "500, X-Other: 1, ERROR", "503, X-Rejected: 1, NO_PLACE",
        "504, X-Rejected: 1, NO_PLACE", "503, X-Rejected: 0, ERROR", "503, X-Other: 1, ERROR", "504, X-Other: 1, ERROR",
        "500, X-Rejected: 1, ERROR", "302, X-Other: 1, ERROR"})
    void statusIsReadAsTheProtocolSays(int status, String header, Outcome outcome) throws Exception {
        client.write(site.get(Site.LONG_S));
        site.node.next().wire().answer(status, "v", header);
        assertEquals(outcome, Scripted.next(site.router.ends).outcome());
        assertEquals(outcome == Outcome.OK ? 200 : 502, Site.status(client.read()));
    }

    /** Whoever has a place and is turned away met a full queue; on a new connection it was for want of a place. */
    @Test
    void turnedAwayOnAKeptConnectionIsARejection() throws Exception {
        client.write(site.get(Site.LONG_S));
        site.node.await().wire().answer(200, "v");
        assertEquals(Outcome.OK, Scripted.next(site.router.ends).outcome());
        assertEquals(200, Site.status(client.read()));
        for (Outcome seen = null; seen != Outcome.REJECTED;) {
            client.write(site.get(Site.LONG_S));
            Peer.Message asked = site.node.await();
            boolean kept = asked.wire().number() == 0;
            asked.wire().answer(kept ? 503 : 200, "v", "X-Rejected: 1");
            seen = Scripted.next(site.router.ends).outcome();
            assertEquals(kept ? Outcome.REJECTED : Outcome.OK, seen);
            client.read();
        }
    }

    @Test
    void closingAfterTheRequestIsAReset() throws Exception {
        client.write(site.get(Site.LONG_S));
        site.node.next().wire().close();
        assertEquals(Outcome.RESET, Scripted.next(site.router.ends).outcome());
    }

    @Test
    void anAnswerThatStopsHalfWayIsAReset() throws Exception {
        client.write(site.get(Site.LONG_S));
        Peer.Wire wire = site.node.next().wire();
        wire.write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
        wire.close();
        assertEquals(Outcome.RESET, Scripted.next(site.router.ends).outcome());
        assertEquals(502, Site.status(client.read()));
    }

    @Test
    void garbageIsAnErrorAndEndsTheConnection() throws Exception {
        client.write(site.get(Site.LONG_S));
        Peer.Wire wire = site.node.next().wire();
        wire.write("this is no HTTP\r\n\r\n");
        assertEquals(Outcome.ERROR, Scripted.next(site.router.ends).outcome());
        assertNull(site.node.next().text());
    }

    @Test
    void anAnswerOverTheLimitIsAnError() throws Exception {
        client.write(site.get(Site.LONG_S));
        site.node.next().wire().write("HTTP/1.1 200 x\r\nContent-Length: " + (Content.MOST_BYTES + 1) + "\r\n\r\nv");
        assertEquals(Outcome.ERROR, Scripted.next(site.router.ends).outcome());
    }

    @Test
    void aRefusedConnectionNeverRan() throws Exception {
        InetSocketAddress address = site.node.address();
        site.node.close();
        // Held and not listened at: any other program could be given the port, and would accept.
        try (Socket holder = new Socket()) {
            holder.setReuseAddress(true);
            holder.bind(address);
            client.write(site.get(Site.LONG_S));
            assertEquals(Outcome.CONNECT_FAILED, Scripted.next(site.router.ends).outcome());
        }
    }

    @Test
    void aSilentNodeTimesOutAndItsConnectionIsNotUsedAgain() throws Exception {
        site.router.onRequest = (request, out) -> out.send(request.id(), "c0", 2000);
        client.write(site.get(Site.LONG_S));
        Peer.Message first = site.node.next();
        assertEquals(Outcome.TIMEOUT, Scripted.next(site.router.ends).outcome());
        assertNull(site.node.next().text(), "the abandoned connection is closed");
        assertEquals(502, Site.status(client.read()));
        site.router.onRequest = (request, out) -> out.send(request.id(), "c0", 0);
        client.write(site.get(Site.LONG_S));
        Peer.Message second = site.node.next();
        assertFalse(first.wire().number() == second.wire().number());
        second.wire().answer(200, "v");
        assertEquals(200, Site.status(client.read()));
    }

    @Test
    void aTimeoutIsCutToTheClientsBudget() throws Exception {
        site.router.onRequest = (request, out) -> out.send(request.id(), "c0", 1e6);
        client.write(site.get(2));
        site.node.next();
        assertEquals(Outcome.TIMEOUT, Scripted.next(site.router.ends).outcome());
    }

    @Test
    void theRequestGoesOnUnchangedOnAKeptConnection() throws Exception {
        client.write(Site.put("Idempotency-Key: k-9\r\n", "value"));
        Peer.Message put = site.node.next();
        assertEquals("PUT /api/k1 HTTP/1.1", put.firstLine());
        assertEquals("value", put.body());
        assertEquals("k-9", put.header("Idempotency-Key"));
        assertEquals("w1", put.header("X-Call-Id"));
        put.wire().answer(200, "done", "X-Hit: miss");
        assertEquals("done", new Peer.Message(client.read(), client).body());
        assertEquals(2, Scripted.next(site.router.ends).cacheStatus());
        // A connection rests for a moment before its next request; those that come meanwhile open others.
        Set<Integer> opened = new HashSet<>(Set.of(put.wire().number()));
        boolean kept = false;
        Peer.Message get = put;
        while (!kept) {
            client.write(site.get(Site.LONG_S));
            get = site.node.next();
            kept = !opened.add(get.wire().number());
            get.wire().answer(200, "again");
            client.read();
        }
        assertEquals("GET /api/k1?x=1 HTTP/1.1", get.firstLine());
        assertTrue(Double.parseDouble(get.header("X-Budget")) <= Site.LONG_S);
    }

    @Test
    void anAnswerThatNobodyAskedForClosesTheConnection() throws Exception {
        client.write(site.get(Site.LONG_S));
        Peer.Wire wire = site.node.next().wire();
        wire.answer(200, "v");
        client.read();
        wire.answer(200, "stray");
        assertNull(site.node.next().text());
    }

    @Test
    void pastTheAttemptsAllowedNothingIsSent() throws Exception {
        site.router.onEnd = (end, out) -> {
            if (end.outcome() == Outcome.NEVER_SENT) {
                out.fail(end.request());
            } else {
                out.send(end.request(), "c0", 0);
            }
        };
        client.write(site.get(Site.LONG_S));
        for (int i = 0; i < 3; i++) {
            site.node.next().wire().answer(404, "");
        }
        assertEquals(502, Site.status(client.read()));
        AttemptResult last = null;
        for (int i = 0; i < 4; i++) {
            last = Scripted.next(site.router.ends);
        }
        assertEquals(3, last.attempt());
        assertEquals(Outcome.NEVER_SENT, last.outcome());
        assertTrue(site.node.heardNothing());
    }

    @Test
    void twoAttemptsAreNeverOutAtOnce() throws Exception {
        site.router.onRequest = (request, out) -> {
            out.send(request.id(), "c0", 0);
            out.send(request.id(), "c0", 0);
        };
        site.router.onEnd = (end, out) -> { };
        client.write(site.get(Site.LONG_S));
        assertEquals(Outcome.NEVER_SENT, Scripted.next(site.router.ends).outcome());
        site.node.next().wire().answer(200, "v");
        assertEquals(200, Site.status(client.read()));
        assertTrue(site.node.heardNothing());
    }

    @Test
    void aProbeTellsWhetherTheNodeLives() throws Exception {
        site.router.onRequest = (request, out) -> {
            out.probe("c0");
            out.refuse(request.id(), 0);
        };
        client.write(site.get(Site.LONG_S));
        Peer.Message probe = site.node.next();
        assertEquals("GET /alive HTTP/1.1", probe.firstLine());
        probe.wire().answer(200, "");
        assertEquals(Outcome.OK, Scripted.next(site.router.probes));
    }
}
