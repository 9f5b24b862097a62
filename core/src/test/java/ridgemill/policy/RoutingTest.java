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

/** Picks, holds, health and sameness. */
class RoutingTest {

    @Test
    void aKeyStaysAtOneNodeWhileItIsNotBusyAndMovesToItsSecondWhenItIs() {
        RouterHarness b = RouterHarness.withCacheNodes(6);
        String first = b.nodeOf(b.request("dear", 42));
        String second = b.nodeOf(b.request("dear", 42));
        assertNotEquals(first, second);
        var seen = new TreeSet<String>();
        for (int i = 0; i < 20; i++) {
            for (int other = 1; other <= 6; other++) {
                b.endAttempt(b.request("dear", 100 * other + i), Outcome.OK);
            }
            String id = b.request("dear", 42);
            if (b.sendCount(id) > 0) {
                seen.add(b.nodeOf(id));
                b.endAttempt(id, Outcome.OK);
            }
        }
        assertTrue(seen.size() == 1 || seen.size() == 2, seen.toString());
        assertTrue(seen.contains(first) || seen.contains(second));
    }

    /** Of several that want one key the first fetches it: its client's leaving costs the others nothing, and the origin no second fetch. */
    @Test
    void aFetchThatOthersWaitForGoesOnWhenItsClientLeaves() {
        RouterHarness b = RouterHarness.withCacheNodes(1);
        String first = b.request("dear", 7);
        b.endAttempt(first, Outcome.MISS);
        String waits = b.request("dear", 7);
        assertEquals("db", b.nodeOf(first));
        assertEquals(0, b.sendCount(waits));
        b.router.onClientDisconnected(b.now, first, b.actions);
        assertEquals(0, b.actions.cancelledRequests.size(), "one waits for it");
        b.endAttempt(first, Outcome.OK);
        assertEquals("c0", b.nodeOf(waits), "the value is there now");
        assertEquals(1, b.actions.sentTo("db"));
        String alone = b.request("dear", 8);
        b.endAttempt(alone, Outcome.MISS);
        b.router.onClientDisconnected(b.now, alone, b.actions);
        assertEquals(java.util.List.of(alone), b.actions.cancelledRequests, "nobody waits for this one");
    }

    @Test
    void aCrowdedNodeGetsNoMoreAndTheRestIsRefusedEarly() {
        RouterHarness b = RouterHarness.withCacheNodes(2);
        for (int i = 0; i < 100; i++) {
            b.request("dear", i);
        }
        b.advance(150);
        assertTrue(b.actions.sentTo("c0") <= 5 && b.actions.sentTo("c1") <= 5);
        assertTrue(b.actions.refusedRequests.size() >= 90);
    }

    @Test
    void aReadWaitsAMomentForAPlaceAndHigherWorthGoesFirst() {
        RouterHarness b = RouterHarness.withCacheNodes(1);
        String first = b.request("dear", 0);
        String last = first;
        while (b.sendCount(last) > 0) {
            last = b.request("dear", 1);
        }
        b.advance(1);
        String cheap = b.request("cheap", 2);
        String dear = b.request("dear", 3);
        b.endAttempt(first, Outcome.OK);
        b.advance(10);
        assertEquals(1, b.sendCount(dear));
        assertEquals(0, b.sendCount(cheap));
    }

    @Test
    void whenANodeLeavesOnlyItsOwnKeysMove() {
        RouterHarness b = RouterHarness.withCacheNodes(6);
        Map<Integer, String> before = new HashMap<>();
        for (int key = 0; key < 200; key++) {
            String id = b.request("dear", key);
            before.put(key, b.nodeOf(id));
            b.endAttempt(id, Outcome.OK);
        }
        b.updateNodes(RouterHarness.node("c3", 0, Availability.GONE));
        int moved = 0;
        for (int key = 0; key < 200; key++) {
            String id = b.request("dear", key);
            if (before.get(key).equals("c3")) {
                moved++;
                assertNotEquals("c3", b.nodeOf(id));
            } else {
                assertEquals(before.get(key), b.nodeOf(id));
            }
            b.endAttempt(id, Outcome.OK);
        }
        assertTrue(moved > 0);
    }

    @Test
    void aSecondReadOfAKeyWaitsForOurFetchAndGoesToTheFilledNode() {
        RouterHarness b = RouterHarness.withCacheNodes(4);
        String fetcher = b.request("dear", 9);
        while (!b.nodeOf(fetcher).equals("db")) {
            b.endAttempt(fetcher, Outcome.MISS);
        }
        String waiting = b.request("dear", 9);
        assertEquals(0, b.sendCount(waiting));
        b.endAttempt(fetcher, Outcome.OK);
        assertEquals(1, b.sendCount(waiting));
        assertNotEquals("db", b.nodeOf(waiting));
    }

    @Test
    void aHeldReadGoesOnAloneWhenTheFetchFails() {
        RouterHarness b = RouterHarness.withCacheNodes(4);
        String fetcher = b.request("dear", 9);
        while (!b.nodeOf(fetcher).equals("db")) {
            b.endAttempt(fetcher, Outcome.MISS);
        }
        String waiting = b.request("dear", 9);
        b.endAttempt(fetcher, Outcome.REJECTED);
        assertEquals(1, b.actions.finalAnswers(fetcher));
        assertEquals(1, b.sendCount(waiting));
    }

    @Test
    void aNodeThatFailsIsSparedAndTriedAgainButNeverAllOfThem() {
        RouterHarness b = RouterHarness.withCacheNodes(4);
        for (int i = 0; i < 60; i++) {
            String id = b.request("dear", i);
            while (b.actions.finalAnswers(id) == 0 && b.nodeOf(id).equals("c0")) {
                b.endAttempt(id, Outcome.CONNECT_FAILED);
            }
            if (b.actions.finalAnswers(id) == 0) {
                b.endAttempt(id, Outcome.OK);
            }
        }
        assertTrue(b.actions.sentTo("c0") < 6, b.actions.sentTo("c0") + " sends to the dead node");
        b.advance(10_000);
        long before = b.actions.sentTo("c0");
        for (int i = 0; i < 60; i++) {
            b.endAttempt(b.request("dear", i), Outcome.OK);
        }
        assertTrue(b.actions.sentTo("c0") > before);

        RouterHarness all = RouterHarness.withCacheNodes(4);
        for (int i = 0; i < 60; i++) {
            String id = all.request("dear", i);
            while (all.actions.finalAnswers(id) == 0) {
                all.endAttempt(id, Outcome.CONNECT_FAILED);
            }
        }
        int sent = all.actions.sentAttempts.size();
        all.advance(20_000);
        for (int i = 0; i < 20; i++) {
            all.request("dear", i);
        }
        assertTrue(all.actions.sentAttempts.size() > sent);
    }

    @Test
    void sameEventsGiveTheSameActions() {
        RouterHarness one = RouterHarness.withCacheNodes(5);
        RouterHarness two = RouterHarness.withCacheNodes(5);
        for (RouterHarness b : new RouterHarness[] {one, two}) {
            for (int i = 0; i < 300; i++) {
                String id = b.request(i % 3 == 0 ? "cheap" : "dear", i % 40);
                if (i % 4 != 0 && b.sendCount(id) > 0) {
                    b.endAttempt(id, i % 5 == 0 ? Outcome.MISS : i % 7 == 0 ? Outcome.TIMEOUT : Outcome.OK);
                }
                b.advance(7);
            }
        }
        assertEquals(one.actions.log, two.actions.log);
    }

    @Test
    void aSiteWithoutOriginAndARequestWithoutKeyAreServed() {
        RouterHarness b = new RouterHarness(RouterHarness.settings(false, false));
        b.updateNodes(RouterHarness.node("c0", 0, Availability.UP), RouterHarness.node("c1", 0, Availability.UP));
        String read = b.request("dear", -1);
        String write = b.request("unsafe", 3, true);
        assertEquals(1, b.sendCount(read));
        assertEquals(1, b.sendCount(write));
    }

    @Test
    void aSlowerModelGetsFewerKeysWhereTheListTellsNoSizes() {
        RouterHarness b = new RouterHarness(RouterHarness.settings(true, false));
        b.updateNodes(RouterHarness.origin(), RouterHarness.node("f0", 0, Availability.UP), RouterHarness.node("f1", 0, Availability.UP),
                new Router.Node("s0", "slow", "z", 0, 1, 0, Availability.UP),
                new Router.Node("s1", "slow", "z", 0, 1, 0, Availability.UP));
        for (int i = 0; i < 3000; i++) {
            String id = b.request("dear", i);
            b.endAttempt(id, Outcome.OK, b.nodeOf(id).startsWith("s") ? 120 : 30);
            b.advance(10);
        }
        b.actions.sentAttempts.clear();
        for (int i = 0; i < 1000; i++) {
            b.endAttempt(b.request("dear", 9000 + i), Outcome.OK);
        }
        long slow = b.actions.sentTo("s0") + b.actions.sentTo("s1");
        assertTrue(slow > 150 && slow < 400, slow + " of 1000");
    }

    @Test
    void aNodeThatAnswersVerySlowlyGetsPausesAndIsUsedAgainOnceItIsQuick() {
        RouterHarness b = RouterHarness.withCacheNodes(1);
        serve(b, 20, 400, 500);
        assertTrue(serve(b, 20, 400, 500) < 15, "paced while slow");
        serve(b, 20, 20, 1000);
        assertEquals(20, serve(b, 20, 20, 100), "used again");
    }

    /** Asks one after another, each answered in {@code elapsed} ms, and tells how many were sent at once. */
    private static int serve(RouterHarness b, int requests, double elapsed, double gap) {
        int sent = 0;
        for (int i = 0; i < requests; i++) {
            String id = b.request("dear", i);
            if (b.sendCount(id) > 0) {
                sent++;
                b.endAttempt(id, Outcome.OK, elapsed);
            } else {
                b.router.onClientDisconnected(b.now, id, b.actions);
            }
            b.advance(gap);
        }
        return sent;
    }
}
