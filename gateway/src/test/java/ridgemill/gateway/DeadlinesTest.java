package ridgemill.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import ridgemill.deadline.ClientTimeout.Format;
import ridgemill.gateway.front.http.HttpClientPolicy;
import ridgemill.idempotency.InMemoryIdempotencyStore;
import ridgemill.idempotency.IdempotencyRecords;
import ridgemill.policy.Reason;
import ridgemill.policy.Router.Outcome;

/** Clients' time over sockets: pipelines, half-closed connections, stalls, and what a key came to. */
@Timeout(Peer.PATIENCE_S)
class DeadlinesTest {

    private Site site;
    private Peer.Wire client;

    private void start(HttpClientPolicy terms) throws Exception {
        site = new Site();
        site.maxOpen = 64;
        site.start("automatic", "60000", "");
        site.service.runOnLoop(() -> site.service.setHttpClientPolicy(terms));
        client = site.client();
    }

    private static HttpClientPolicy sideBySide(boolean halfCloseStays) {
        return new HttpClientPolicy(Set.of(Format.SECONDS, Format.GRPC), false, halfCloseStays, 4);
    }

    @AfterEach
    void stop() throws Exception {
        client.close();
        site.close();
    }

    private static String body(String answer) {
        return answer.substring(answer.indexOf("\r\n\r\n") + 4);
    }

    @Test
    void readsOfOnePipelineRunSideBySideAndAreAnsweredInTheirOrder() throws Exception {
        start(sideBySide(false));
        client.write(site.get(Site.LONG_S) + site.get(Site.LONG_S) + site.get(Site.LONG_S));
        List<Peer.Message> sent = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            sent.add(site.node.next());
        }
        for (int i = 2; i >= 0; i--) {
            Peer.Message m = sent.get(i);
            m.wire().answer(200, "for " + m.header("X-Call-Id"));
        }
        for (int i = 0; i < 3; i++) {
            assertEquals("for id" + i, body(client.read()));
        }
    }

    @Test
    void aWriteWaitsForWhatIsAheadOfItAndHoldsUpWhatIsBehind() throws Exception {
        start(sideBySide(false));
        client.write(site.get(Site.LONG_S) + Site.put("Idempotency-Key: k\r\n", "v") + site.get(Site.LONG_S));
        Peer.Message first = site.node.next();
        assertEquals("id0", first.header("X-Call-Id"));
        first.wire().answer(200, "a");
        Peer.Message write = site.node.next();
        assertEquals("w1", write.header("X-Call-Id"), "nothing was sent beside a write, nor a write beside a read");
        write.wire().answer(200, "b");
        Peer.Message last = site.node.next();
        assertEquals("id1", last.header("X-Call-Id"));
        last.wire().answer(200, "c");
        assertEquals(List.of("a", "b", "c"), List.of(body(client.read()), body(client.read()), body(client.read())));
    }

    /** The one ahead has a minute, the one behind less than a second: it is held up no longer than its own time. */
    @Test
    void twoDeadlinesInOnePipelineAreBothKept() throws Exception {
        start(sideBySide(false));
        client.write(site.get(Site.LONG_S) + site.get(0.7));
        Peer.Message slow = site.node.next();
        Peer.Message quick = site.node.next();
        if (!quick.header("X-Call-Id").equals("id1")) {
            Peer.Message other = slow;
            slow = quick;
            quick = other;
        }
        quick.wire().answer(200, "quick");
        assertEquals(503, Site.status(client.read()), "it is given up for the one behind it, and is safe to repeat");
        assertEquals("quick", body(client.read()));
        assertEquals(Outcome.OK, Scripted.next(site.router.ends).outcome());
        assertEquals(Outcome.CANCELLED, Scripted.next(site.router.ends).outcome());
    }

    @Test
    void anErrorBehindOpenRequestsComesAfterTheirAnswers() throws Exception {
        start(sideBySide(false));
        client.write(site.get(Site.LONG_S) + "GET /nowhere HTTP/1.1\r\nHost: s\r\n\r\n" + site.get(Site.LONG_S));
        site.node.next().wire().answer(200, "a");
        assertEquals("a", body(client.read()));
        assertEquals(404, Site.status(client.read()));
        assertNull(client.read(), "nothing behind an error is carried out");
    }

    @Test
    void aClientOfAPipelineThatLeavesEndsAllThatIsOut() throws Exception {
        start(sideBySide(false));
        site.router.onGone = (end, out) -> out.cancel(end.request(), 0);
        client.write(site.get(Site.LONG_S) + site.get(Site.LONG_S));
        site.node.next();
        site.node.next();
        client.close();
        assertEquals(Outcome.CANCELLED, Scripted.next(site.router.ends).outcome());
        assertEquals(Outcome.CANCELLED, Scripted.next(site.router.ends).outcome());
    }

    @Test
    void aHalfCloseMayMeanNoMoreRequestsAndNothingElse() throws Exception {
        start(sideBySide(true));
        client.write(site.get(Site.LONG_S) + site.get(Site.LONG_S));
        client.socket().shutdownOutput();
        List<Peer.Message> sent = List.of(site.node.next(), site.node.next());
        for (Peer.Message m : sent) {
            m.wire().answer(200, "for " + m.header("X-Call-Id"));
        }
        assertEquals("for id0", body(client.read()));
        assertEquals("for id1", body(client.read()));
        assertNull(client.read(), "there is nothing more to come");
        assertTrue(site.router.gone.isEmpty());
    }

    @Test
    void whereTheFileSaysNothingOneThatClosesItsHalfHasLeft() throws Exception {
        start(HttpClientPolicy.PLATFORM);
        site.router.onGone = (end, out) -> out.cancel(end.request(), 0);
        client.write(site.get(Site.LONG_S));
        site.node.next();
        client.socket().shutdownOutput();
        assertEquals("id0", Scripted.next(site.router.gone));
        assertNull(site.node.next().text(), "the node sees that nobody waits");
    }

    /** Its request is over before the connection to the node has come up: nothing is written there. */
    @Test
    void whatIsOverWhenItsConnectionComesUpIsNotWritten() throws Exception {
        start(HttpClientPolicy.PLATFORM);
        site.router.onRequest = (request, out) -> {
            out.send(request.id(), "c0", 0);
            out.fail(request.id());
        };
        client.write(site.get(Site.LONG_S));
        assertEquals(502, Site.status(client.read()));
        var end = Scripted.next(site.router.ends);
        assertEquals(Outcome.NEVER_SENT, end.outcome());
        assertTrue(end.requestFinished());
        site.router.onRequest = (request, out) -> out.send(request.id(), "c0", 0);
        client.write(site.get(Site.LONG_S));
        Peer.Message next = site.node.next();
        assertEquals("id1", next.header("X-Call-Id"), "the first thing that the node sees");
        next.wire().answer(200, "v");
        assertEquals("v", body(client.read()));
    }

    /** The proxy itself stands still for 3 s: what was asked meanwhile may be as old, and has no time left. */
    @Test
    void whatCameDuringAStallIsNotSentOn() throws Exception {
        start(HttpClientPolicy.PLATFORM);
        client.write(site.get(Site.LONG_S));
        site.node.next().wire().answer(200, "v");
        client.read();
        CountDownLatch stalls = new CountDownLatch(1);
        CountDownLatch asked = new CountDownLatch(1);
        site.service.loop().execute(() -> {
            stalls.countDown();
            try {
                asked.await();
                // The stall itself, and no wait for anything.
                Thread.sleep(3000);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        stalls.await();
        client.write(site.get(1.5));
        asked.countDown();
        assertEquals(503, Site.status(client.read()), "refused at once, as nothing ran");
        assertEquals(1, site.router.requests.size(), "nobody decided on it");
        // A while after the stall all is as usual again: whoever asks is decided on. How many are refused before is for the
        // machine's speed to say, and only the test's own time ends it.
        site.router.onRequest = (request, out) -> out.fail(request.id());
        int status = 503;
        while (status == 503) {
            client.write(site.get(1.0));
            status = Site.status(client.read());
        }
        assertEquals(502, status);
    }

    @ParameterizedTest
    @CsvSource(value = {"X-Budget: 1.0|X-Budget: 1.0|400", "X-Budget: -1|X-Other: 1|400", "X-Budget: NaN|X-Other: 1|400",
        "X-Budget: 1e9|X-Other: 1|400", "X-Budget: 99999|X-Other: 1|400", "X-Other: 1|X-Other: 2|400",
        "grpc-timeout: 30S|X-Other: 1|200", "grpc-timeout: 30S|X-Budget: 20|200", "grpc-timeout: 30S|grpc-timeout: 30S|400",
        "grpc-timeout: 30x|X-Budget: 20|400", "X-Budget: 30|X-Other: 1|200"}, delimiter = '|')
    void eachWayOfSayingATimeHasOneOutcome(String first, String second, int status) throws Exception {
        start(sideBySide(false));
        // Both readers, the plain one and Netty's, which a space before the colon's value calls in.
        for (String space : List.of("", " ")) {
            try (Peer.Wire wire = site.client()) {
                wire.write("GET /api/k1 HTTP/1.1\r\nHost: s\r\nX-Call-Id: t" + space.length() + "\r\nX-Call-Class: read\r\n" + first
                        + "\r\n" + second + "\r\nX-Pad:  " + space + "v\r\n\r\n");
                if (status == 200) {
                    site.node.next().wire().answer(200, "v");
                }
                assertEquals(status, Site.status(wire.read()));
            }
        }
    }

    private void record() {
        site.service.runOnLoop(() -> site.service.enableIdempotencyRecords(new IdempotencyRecords(new InMemoryIdempotencyStore(100), 60_000)));
    }

    private static String outcome(Peer.Wire wire, String key) throws Exception {
        wire.write("GET /outcome/" + key + " HTTP/1.1\r\nHost: s\r\n\r\n");
        return wire.read();
    }

    @Test
    void aCreditWhoseClientLeftIsRecordedAndTold() throws Exception {
        start(sideBySide(false));
        record();
        client.write(Site.put("Idempotency-Key: k\r\n", "v"));
        Peer.Message sent = site.node.next();
        client.close();
        try (Peer.Wire again = site.client()) {
            assertTrue(outcome(again, "k").contains("\"running\""));
            again.write(Site.put("Idempotency-Key: k\r\n", "v").replace("w1", "w2"));
            sent.wire().answer(200, "done");
            assertEquals("done", body(again.read()), "it waited for the one that runs");
            again.write(Site.put("Idempotency-Key: k\r\n", "v").replace("w1", "w3"));
            String told = again.read();
            assertEquals(200, Site.status(told));
            assertTrue(told.contains("x-outcome: recorded") && told.contains("x-outcome-call: w1"), told);
            assertTrue(outcome(again, "k").contains("\"recorded\""));
            assertEquals(404, Site.status(outcome(again, "other")));
            again.write(Site.put("Idempotency-Key: k\r\n", "w").replace("w1", "w4"));
            assertEquals(422, Site.status(again.read()), "the same key with another amount");
        }
        assertEquals(1, site.router.requests.size(), "one of them ran");
    }

    @Test
    void anAnswerSaysWhyWhereTheFileSaysSo() throws Exception {
        start(new HttpClientPolicy(Set.of(Format.SECONDS), false, false, 1, true));
        site.router.onRequest = (request, out) -> {
            out.reportReason(request.id(), Reason.CROWDED);
            out.refuse(request.id(), 0);
        };
        client.write(site.get(Site.LONG_S));
        assertTrue(client.read().contains("x-reason: crowded"));
        assertEquals(1L, site.service.status().reasons().get("read").get("crowded"));
        site.service.runOnLoop(() -> site.service.setHttpClientPolicy(HttpClientPolicy.PLATFORM));
        client.write(site.get(Site.LONG_S));
        assertTrue(!client.read().contains("x-reason"), "the platform's clients are told what they were told before");
    }

    @Test
    void whereNothingIsRecordedNobodyCanAsk() throws Exception {
        start(sideBySide(false));
        assertEquals(404, Site.status(outcome(client, "k")));
    }
}
