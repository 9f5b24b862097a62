package ridgemill.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ridgemill.policy.Router.Outcome;

/** Nodes answer with more, or other, than was asked for; no request may get what was made for another. */
class MixedAnswersTest extends WithSite {

    private static final String FIRST = "HTTP/1.1 200 x\r\nContent-Length: 5\r\n\r\nfirst";

    /** The second request is sent to the node in the very moment in which the first one's answer is told. */
    private Peer.Message secondAfterFirst(String more) throws Exception {
        site.router.onRequest = (request, out) -> {
            if (request.id().equals("id0")) {
                out.send("id0", "c0", 0);
            }
        };
        site.router.onEnd = (end, out) -> {
            if (end.request().equals("id0")) {
                out.send("id1", "c0", 0);
            } else if (!end.requestFinished()) {
                out.fail(end.request());
            }
        };
        client.write(site.get(Site.LONG_S));
        Peer.Message first = site.node.next();
        try (Peer.Wire other = site.client()) {
            other.write(site.get(Site.LONG_S));
            while (site.router.requests.size() < 2) {
                Thread.onSpinWait();
            }
            first.wire().write(FIRST + more);
            assertEquals("first", new Peer.Message(client.read(), client).body());
            Peer.Message second = site.node.next();
            while (second.text() == null) {
                second = site.node.next();
            }
            second.wire().answer(200, "second");
            assertEquals("second", new Peer.Message(other.read(), other).body());
            assertNotEquals(first.wire().number(), second.wire().number());
            return second;
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {FIRST, "noise", "HTTP/1.1 200 x\r\nContent-Le", "\u0000\u0001 noise\r\n\r\n"})
    void whatComesBehindAnAnswerIsNotTheNextOnes(String more) throws Exception {
        assertEquals("id1", secondAfterFirst(more).header("X-Call-Id"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"noise without an end of line", "HTTP/2 200", "HTTP/1.1 200 x\r\nA: unfinished",
        "HTTP/1.1 200 x\r\nContent-Length: 10\r\n\r\nhalf", "HTTP/1.1 200 x\r\nContent-Length: -1\r\n\r\n",
        "HTTP/1.1 200 x\r\nContent-Length: 1\r\nContent-Length: 3\r\n\r\nabc",
        "HTTP/1.1 200 x\r\nno colon here\r\nContent-Length: 1\r\n\r\na", "HTTP/1.1 200 x\r\nnone\r\nContent-Length: 1\r\n\r\na",
        "HTTP/1.1 200 x\r\nContent-Length: 3221225472\r\n\r\nmuch",
        "HTTP/1.1 200 x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"})
    void aSpoiltAnswerEndsItsAttemptAtOnceAsOneThatMayHaveRun(String answer) throws Exception {
        client.write(site.get(Site.LONG_S));
        site.node.next().wire().write(answer);
        assertEquals(Outcome.ERROR, Scripted.next(site.router.ends).outcome());
        assertEquals(502, Site.status(client.read()));
        assertNull(site.node.next().text(), "the connection is of no further use");
    }

    @Test
    void anAnswerThatOnlyTheEndOfItsConnectionEndsMayBeCutShort() throws Exception {
        client.write(site.get(Site.LONG_S));
        Peer.Wire wire = site.node.next().wire();
        wire.write("HTTP/1.1 200 x\r\n\r\nperhaps all");
        wire.close();
        assertEquals(Outcome.RESET, Scripted.next(site.router.ends).outcome());
    }

    @Test
    void interimAnswersAndAnOddReportLeaveAGoodAnswerGood() throws Exception {
        client.write(site.get(Site.LONG_S));
        Peer.Wire wire = site.node.next().wire();
        wire.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n");
        wire.answer(200, "good", "X-Load-Report: \u00ff=;;,inflight=many");
        assertEquals("good", new Peer.Message(client.read(), client).body());
    }
}
