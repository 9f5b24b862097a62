package ridgemill.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import ridgemill.policy.Router.Availability;
import ridgemill.policy.Router.Outcome;

/** Node selection, coalescing of fetches, node health, and determinism. */
class RoutingTest {

    @Test
    void keyStaysAtItsFirstNodeUnlessThatIsBusy() {
        RouterHarness harness = RouterHarness.withCacheNodes(6);
        String first = harness.nodeOf(harness.request("premium", 42));
        String second = harness.nodeOf(harness.request("premium", 42));
        assertNotEquals(first, second);
        var seen = new TreeSet<String>();
        for (int i = 0; i < 20; i++) {
            for (int other = 1; other <= 6; other++) {
                harness.endAttempt(harness.request("premium", 100 * other + i), Outcome.OK);
            }
            String id = harness.request("premium", 42);
            if (harness.sendCount(id) > 0) {
                seen.add(harness.nodeOf(id));
                harness.endAttempt(id, Outcome.OK);
            }
        }
        assertTrue(seen.size() == 1 || seen.size() == 2, seen.toString());
        assertTrue(seen.contains(first) || seen.contains(second));
    }

    /**
     * The first of several reads of one key fetches it. If its client disconnects, the waiting reads must not suffer,
     * and the origin must not get a second fetch.
     */
    @Test
    void fetchWithWaitersContinuesAfterClientDisconnects() {
        RouterHarness harness = RouterHarness.withCacheNodes(1);
        String first = harness.request("premium", 7);
        harness.endAttempt(first, Outcome.MISS);
        String waiting = harness.request("premium", 7);
        assertEquals("db", harness.nodeOf(first));
        assertEquals(0, harness.sendCount(waiting));
        harness.router.onClientDisconnected(harness.now, first, harness.actions);
        assertEquals(0, harness.actions.cancelledRequests.size(), "another read waits for the fetch");
        harness.endAttempt(first, Outcome.OK);
        assertEquals("c0", harness.nodeOf(waiting), "the node has the value now");
        assertEquals(1, harness.actions.sentTo("db"));
        String alone = harness.request("premium", 8);
        harness.endAttempt(alone, Outcome.MISS);
        harness.router.onClientDisconnected(harness.now, alone, harness.actions);
        assertEquals(java.util.List.of(alone), harness.actions.cancelledRequests, "no other read waits for this fetch");
    }

    @Test
    void nodeAtCapacityGetsNoMoreAndTheRestIsRefusedEarly() {
        RouterHarness harness = RouterHarness.withCacheNodes(2);
        for (int i = 0; i < 100; i++) {
            harness.request("premium", i);
        }
        harness.advance(150);
        assertTrue(harness.actions.sentTo("c0") <= 5 && harness.actions.sentTo("c1") <= 5);
        assertTrue(harness.actions.refusedRequests.size() >= 90);
    }

    @Test
    void queuedReadsAreSentByPriority() {
        RouterHarness harness = RouterHarness.withCacheNodes(1);
        String first = harness.request("premium", 0);
        String last = first;
        while (harness.sendCount(last) > 0) {
            last = harness.request("premium", 1);
        }
        harness.advance(1);
        String cheap = harness.request("basic", 2);
        String dear = harness.request("premium", 3);
        harness.endAttempt(first, Outcome.OK);
        harness.advance(10);
        assertEquals(1, harness.sendCount(dear));
        assertEquals(0, harness.sendCount(cheap));
    }

    @Test
    void onlyKeysOfARemovedNodeMove() {
        RouterHarness harness = RouterHarness.withCacheNodes(6);
        Map<Integer, String> before = new HashMap<>();
        for (int key = 0; key < 200; key++) {
            String id = harness.request("premium", key);
            before.put(key, harness.nodeOf(id));
            harness.endAttempt(id, Outcome.OK);
        }
        harness.updateNodes(RouterHarness.node("c3", 0, Availability.GONE));
        int moved = 0;
        for (int key = 0; key < 200; key++) {
            String id = harness.request("premium", key);
            if (before.get(key).equals("c3")) {
                moved++;
                assertNotEquals("c3", harness.nodeOf(id));
            } else {
                assertEquals(before.get(key), harness.nodeOf(id));
            }
            harness.endAttempt(id, Outcome.OK);
        }
        assertTrue(moved > 0);
    }

    @Test
    void secondReadWaitsForFetchAndGoesToFilledNode() {
        RouterHarness harness = RouterHarness.withCacheNodes(4);
        String fetcher = harness.request("premium", 9);
        while (!harness.nodeOf(fetcher).equals("db")) {
            harness.endAttempt(fetcher, Outcome.MISS);
        }
        String waiting = harness.request("premium", 9);
        assertEquals(0, harness.sendCount(waiting));
        harness.endAttempt(fetcher, Outcome.OK);
        assertEquals(1, harness.sendCount(waiting));
        assertNotEquals("db", harness.nodeOf(waiting));
    }

    @Test
    void waitingReadContinuesWhenFetchFails() {
        RouterHarness harness = RouterHarness.withCacheNodes(4);
        String fetcher = harness.request("premium", 9);
        while (!harness.nodeOf(fetcher).equals("db")) {
            harness.endAttempt(fetcher, Outcome.MISS);
        }
        String waiting = harness.request("premium", 9);
        harness.endAttempt(fetcher, Outcome.REJECTED);
        assertEquals(1, harness.actions.finalAnswers(fetcher));
        assertEquals(1, harness.sendCount(waiting));
    }

    @Test
    void failingNodeIsEjectedAndRetriedButNeverAllNodes() {
        RouterHarness harness = RouterHarness.withCacheNodes(4);
        for (int i = 0; i < 60; i++) {
            String id = harness.request("premium", i);
            while (harness.actions.finalAnswers(id) == 0 && harness.nodeOf(id).equals("c0")) {
                harness.endAttempt(id, Outcome.CONNECT_FAILED);
            }
            if (harness.actions.finalAnswers(id) == 0) {
                harness.endAttempt(id, Outcome.OK);
            }
        }
        assertTrue(harness.actions.sentTo("c0") < 6, harness.actions.sentTo("c0") + " attempts at the dead node");
        harness.advance(10_000);
        long before = harness.actions.sentTo("c0");
        for (int i = 0; i < 60; i++) {
            harness.endAttempt(harness.request("premium", i), Outcome.OK);
        }
        assertTrue(harness.actions.sentTo("c0") > before);

        RouterHarness allFailing = RouterHarness.withCacheNodes(4);
        for (int i = 0; i < 60; i++) {
            String id = allFailing.request("premium", i);
            while (allFailing.actions.finalAnswers(id) == 0) {
                allFailing.endAttempt(id, Outcome.CONNECT_FAILED);
            }
        }
        int sent = allFailing.actions.sentAttempts.size();
        allFailing.advance(20_000);
        for (int i = 0; i < 20; i++) {
            allFailing.request("premium", i);
        }
        assertTrue(allFailing.actions.sentAttempts.size() > sent);
    }

    @Test
    void sameEventsGiveTheSameActions() {
        RouterHarness first = RouterHarness.withCacheNodes(5);
        RouterHarness second = RouterHarness.withCacheNodes(5);
        for (RouterHarness harness : new RouterHarness[] {first, second}) {
            for (int i = 0; i < 300; i++) {
                String id = harness.request(i % 3 == 0 ? "basic" : "premium", i % 40);
                if (i % 4 != 0 && harness.sendCount(id) > 0) {
                    harness.endAttempt(id, i % 5 == 0 ? Outcome.MISS : i % 7 == 0 ? Outcome.TIMEOUT : Outcome.OK);
                }
                harness.advance(7);
            }
        }
        assertEquals(first.actions.log, second.actions.log);
    }

    @Test
    void siteWithoutOriginAndRequestWithoutKeyAreServed() {
        RouterHarness harness = new RouterHarness(RouterHarness.settings(false, false));
        harness.updateNodes(RouterHarness.node("c0", 0, Availability.UP), RouterHarness.node("c1", 0, Availability.UP));
        String read = harness.request("premium", -1);
        String write = harness.request("unsafe", 3, true);
        assertEquals(1, harness.sendCount(read));
        assertEquals(1, harness.sendCount(write));
    }

    @Test
    void slowerModelGetsFewerKeysWithoutListedSizes() {
        RouterHarness harness = new RouterHarness(RouterHarness.settings(true, false));
        harness.updateNodes(RouterHarness.origin(), RouterHarness.node("f0", 0, Availability.UP),
                RouterHarness.node("f1", 0, Availability.UP),
                new Router.Node("s0", "slow", "z", 0, 1, 0, Availability.UP),
                new Router.Node("s1", "slow", "z", 0, 1, 0, Availability.UP));
        for (int i = 0; i < 3000; i++) {
            String id = harness.request("premium", i);
            harness.endAttempt(id, Outcome.OK, harness.nodeOf(id).startsWith("s") ? 120 : 30);
            harness.advance(10);
        }
        harness.actions.sentAttempts.clear();
        for (int i = 0; i < 1000; i++) {
            harness.endAttempt(harness.request("premium", 9000 + i), Outcome.OK);
        }
        long slow = harness.actions.sentTo("s0") + harness.actions.sentTo("s1");
        assertTrue(slow > 150 && slow < 400, slow + " of 1000");
    }

    @Test
    void slowNodeIsPacedUntilItIsFastAgain() {
        RouterHarness harness = RouterHarness.withCacheNodes(1);
        serve(harness, 20, 400, 500);
        assertTrue(serve(harness, 20, 400, 500) < 15, "must be paced while slow");
        serve(harness, 20, 20, 1000);
        assertEquals(20, serve(harness, 20, 20, 100), "must be used again");
    }

    /** Sends requests one after another, each answered in that time, and returns how many were sent at once. */
    private static int serve(RouterHarness harness, int requests, double elapsedMs, double gapMs) {
        int sent = 0;
        for (int i = 0; i < requests; i++) {
            String id = harness.request("premium", i);
            if (harness.sendCount(id) > 0) {
                sent++;
                harness.endAttempt(id, Outcome.OK, elapsedMs);
            } else {
                harness.router.onClientDisconnected(harness.now, id, harness.actions);
            }
            harness.advance(gapMs);
        }
        return sent;
    }
}
