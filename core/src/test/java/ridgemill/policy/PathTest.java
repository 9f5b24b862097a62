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
class PathTest {

    @Test
    void aKeyStaysAtOneNodeWhileItIsNotBusyAndMovesToItsSecondWhenItIs() {
        Bench b = Bench.withCaches(6);
        String first = b.nodeOf(b.ask("dear", 42));
        String second = b.nodeOf(b.ask("dear", 42));
        assertNotEquals(first, second);
        var seen = new TreeSet<String>();
        for (int i = 0; i < 20; i++) {
            for (int other = 1; other <= 6; other++) {
                b.end(b.ask("dear", 100 * other + i), Outcome.OK);
            }
            String id = b.ask("dear", 42);
            if (b.sendsOf(id) > 0) {
                seen.add(b.nodeOf(id));
                b.end(id, Outcome.OK);
            }
        }
        assertTrue(seen.size() == 1 || seen.size() == 2, seen.toString());
        assertTrue(seen.contains(first) || seen.contains(second));
    }

    /** Of several that want one key the first fetches it: its client's leaving costs the others nothing, and the origin no second fetch. */
    @Test
    void aFetchThatOthersWaitForGoesOnWhenItsClientLeaves() {
        Bench b = Bench.withCaches(1);
        String first = b.ask("dear", 7);
        b.end(first, Outcome.MISS);
        String waits = b.ask("dear", 7);
        assertEquals("db", b.nodeOf(first));
        assertEquals(0, b.sendsOf(waits));
        b.router.onClientDisconnected(b.now, first, b.out);
        assertEquals(0, b.out.cancelled.size(), "one waits for it");
        b.end(first, Outcome.OK);
        assertEquals("c0", b.nodeOf(waits), "the value is there now");
        assertEquals(1, b.out.sentTo("db"));
        String alone = b.ask("dear", 8);
        b.end(alone, Outcome.MISS);
        b.router.onClientDisconnected(b.now, alone, b.out);
        assertEquals(java.util.List.of(alone), b.out.cancelled, "nobody waits for this one");
    }

    @Test
    void aCrowdedNodeGetsNoMoreAndTheRestIsRefusedEarly() {
        Bench b = Bench.withCaches(2);
        for (int i = 0; i < 100; i++) {
            b.ask("dear", i);
        }
        b.advance(150);
        assertTrue(b.out.sentTo("c0") <= 5 && b.out.sentTo("c1") <= 5);
        assertTrue(b.out.refused.size() >= 90);
    }

    @Test
    void aReadWaitsAMomentForAPlaceAndHigherWorthGoesFirst() {
        Bench b = Bench.withCaches(1);
        String first = b.ask("dear", 0);
        String last = first;
        while (b.sendsOf(last) > 0) {
            last = b.ask("dear", 1);
        }
        b.advance(1);
        String cheap = b.ask("cheap", 2);
        String dear = b.ask("dear", 3);
        b.end(first, Outcome.OK);
        b.advance(10);
        assertEquals(1, b.sendsOf(dear));
        assertEquals(0, b.sendsOf(cheap));
    }

    @Test
    void whenANodeLeavesOnlyItsOwnKeysMove() {
        Bench b = Bench.withCaches(6);
        Map<Integer, String> before = new HashMap<>();
        for (int key = 0; key < 200; key++) {
            String id = b.ask("dear", key);
            before.put(key, b.nodeOf(id));
            b.end(id, Outcome.OK);
        }
        b.change(Bench.node("c3", 0, Availability.GONE));
        int moved = 0;
        for (int key = 0; key < 200; key++) {
            String id = b.ask("dear", key);
            if (before.get(key).equals("c3")) {
                moved++;
                assertNotEquals("c3", b.nodeOf(id));
            } else {
                assertEquals(before.get(key), b.nodeOf(id));
            }
            b.end(id, Outcome.OK);
        }
        assertTrue(moved > 0);
    }

    @Test
    void aSecondReadOfAKeyWaitsForOurFetchAndGoesToTheFilledNode() {
        Bench b = Bench.withCaches(4);
        String fetcher = b.ask("dear", 9);
        while (!b.nodeOf(fetcher).equals("db")) {
            b.end(fetcher, Outcome.MISS);
        }
        String waiting = b.ask("dear", 9);
        assertEquals(0, b.sendsOf(waiting));
        b.end(fetcher, Outcome.OK);
        assertEquals(1, b.sendsOf(waiting));
        assertNotEquals("db", b.nodeOf(waiting));
    }

    @Test
    void aHeldReadGoesOnAloneWhenTheFetchFails() {
        Bench b = Bench.withCaches(4);
        String fetcher = b.ask("dear", 9);
        while (!b.nodeOf(fetcher).equals("db")) {
            b.end(fetcher, Outcome.MISS);
        }
        String waiting = b.ask("dear", 9);
        b.end(fetcher, Outcome.REJECTED);
        assertEquals(1, b.out.answers(fetcher));
        assertEquals(1, b.sendsOf(waiting));
    }

    @Test
    void aNodeThatFailsIsSparedAndTriedAgainButNeverAllOfThem() {
        Bench b = Bench.withCaches(4);
        for (int i = 0; i < 60; i++) {
            String id = b.ask("dear", i);
            while (b.out.answers(id) == 0 && b.nodeOf(id).equals("c0")) {
                b.end(id, Outcome.CONNECT_FAILED);
            }
            if (b.out.answers(id) == 0) {
                b.end(id, Outcome.OK);
            }
        }
        assertTrue(b.out.sentTo("c0") < 6, b.out.sentTo("c0") + " sends to the dead node");
        b.advance(10_000);
        long before = b.out.sentTo("c0");
        for (int i = 0; i < 60; i++) {
            b.end(b.ask("dear", i), Outcome.OK);
        }
        assertTrue(b.out.sentTo("c0") > before);

        Bench all = Bench.withCaches(4);
        for (int i = 0; i < 60; i++) {
            String id = all.ask("dear", i);
            while (all.out.answers(id) == 0) {
                all.end(id, Outcome.CONNECT_FAILED);
            }
        }
        int sent = all.out.sent.size();
        all.advance(20_000);
        for (int i = 0; i < 20; i++) {
            all.ask("dear", i);
        }
        assertTrue(all.out.sent.size() > sent);
    }

    @Test
    void sameEventsGiveTheSameActions() {
        Bench one = Bench.withCaches(5);
        Bench two = Bench.withCaches(5);
        for (Bench b : new Bench[] {one, two}) {
            for (int i = 0; i < 300; i++) {
                String id = b.ask(i % 3 == 0 ? "cheap" : "dear", i % 40);
                if (i % 4 != 0 && b.sendsOf(id) > 0) {
                    b.end(id, i % 5 == 0 ? Outcome.MISS : i % 7 == 0 ? Outcome.TIMEOUT : Outcome.OK);
                }
                b.advance(7);
            }
        }
        assertEquals(one.out.log, two.out.log);
    }

    @Test
    void aSiteWithoutOriginAndARequestWithoutKeyAreServed() {
        Bench b = new Bench(Bench.settings(false, false));
        b.change(Bench.node("c0", 0, Availability.UP), Bench.node("c1", 0, Availability.UP));
        String read = b.ask("dear", -1);
        String write = b.ask("unsafe", 3, true);
        assertEquals(1, b.sendsOf(read));
        assertEquals(1, b.sendsOf(write));
    }

    @Test
    void aSlowerModelGetsFewerKeysWhereTheListTellsNoSizes() {
        Bench b = new Bench(Bench.settings(true, false));
        b.change(Bench.origin(), Bench.node("f0", 0, Availability.UP), Bench.node("f1", 0, Availability.UP),
                new Router.Node("s0", "slow", "z", 0, 1, 0, Availability.UP),
                new Router.Node("s1", "slow", "z", 0, 1, 0, Availability.UP));
        for (int i = 0; i < 3000; i++) {
            String id = b.ask("dear", i);
            b.end(id, Outcome.OK, b.nodeOf(id).startsWith("s") ? 120 : 30);
            b.advance(10);
        }
        b.out.sent.clear();
        for (int i = 0; i < 1000; i++) {
            b.end(b.ask("dear", 9000 + i), Outcome.OK);
        }
        long slow = b.out.sentTo("s0") + b.out.sentTo("s1");
        assertTrue(slow > 150 && slow < 400, slow + " of 1000");
    }

    @Test
    void aNodeThatAnswersVerySlowlyGetsPausesAndIsUsedAgainOnceItIsQuick() {
        Bench b = Bench.withCaches(1);
        serve(b, 20, 400, 500);
        assertTrue(serve(b, 20, 400, 500) < 15, "paced while slow");
        serve(b, 20, 20, 1000);
        assertEquals(20, serve(b, 20, 20, 100), "used again");
    }

    /** Asks one after another, each answered in {@code elapsed} ms, and tells how many were sent at once. */
    private static int serve(Bench b, int requests, double elapsed, double gap) {
        int sent = 0;
        for (int i = 0; i < requests; i++) {
            String id = b.ask("dear", i);
            if (b.sendsOf(id) > 0) {
                sent++;
                b.end(id, Outcome.OK, elapsed);
            } else {
                b.router.onClientDisconnected(b.now, id, b.out);
            }
            b.advance(gap);
        }
        return sent;
    }
}
