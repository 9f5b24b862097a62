package ridgemill.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import ridgemill.policy.Router.Outcome;

/** A node or a store that has no place for one more connection is neither overloaded nor dead. */
class NoPlaceTest {

    private static String fetching(RouterHarness b, long key) {
        String id = b.request("dear", key);
        while (!b.nodeOf(id).equals("db")) {
            b.endAttempt(id, Outcome.MISS);
        }
        return id;
    }

    @Test
    void aFetchWithoutAPlaceIsTriedOnceMoreALittleLater() {
        RouterHarness b = RouterHarness.withCacheNodes(4);
        String id = fetching(b, 1);
        long sends = b.sendCount(id);
        b.endAttempt(id, Outcome.NO_PLACE);
        assertEquals(sends, b.sendCount(id), "others need time to make room");
        b.advance(BalancingRouter.NO_PLACE_RETRY_MS);
        assertEquals(sends + 1, b.sendCount(id));
        assertEquals("db", b.nodeOf(id));
        b.endAttempt(id, Outcome.NO_PLACE);
        assertEquals(1, b.actions.finalAnswers(id), "a second refusal ends it, at once");
    }

    @Test
    void aWriteIsRefusedAtOnceAndHasNotRun() {
        RouterHarness b = RouterHarness.withCacheNodes(4);
        String id = b.request("keyed", 1, true);
        assertEquals("db", b.nodeOf(id));
        b.endAttempt(id, Outcome.NO_PLACE);
        assertTrue(b.actions.refusedRequests.contains(id));
        assertEquals(1, b.sendCount(id));
    }

    @Test
    void oneWhoseTimeEndsBeforeThatIsAnsweredAtOnce() {
        RouterHarness b = RouterHarness.withCacheNodes(4);
        String id = fetching(b, 1);
        b.advance(RouterHarness.BUDGET_MS - BalancingRouter.NO_PLACE_RETRY_MS);
        b.endAttempt(id, Outcome.NO_PLACE);
        assertEquals(1, b.actions.finalAnswers(id));
    }

    @Test
    void aStoreWhoseTableIsFullIsNotThrottled() {
        RouterHarness b = RouterHarness.withCacheNodes(4);
        for (int s = 0; s < 8; s++) {
            for (int i = 0; i < 20; i++) {
                String id = fetching(b, 1000 + 20 * s + i);
                if (i % 2 == 0) {
                    b.endAttempt(id, Outcome.OK);
                    continue;
                }
                b.endAttempt(id, Outcome.NO_PLACE);
                b.advance(BalancingRouter.NO_PLACE_RETRY_MS);
                b.endAttempt(id, Outcome.NO_PLACE);
            }
            b.advance(500);
        }
        assertEquals(0, b.router.admissionLevel());
    }

    /** It takes as many of them as tell of a node that drains and has not been said to. */
    @Test
    void aNodeWithoutAPlaceIsSparedLaterThanOneThatRejects() {
        assertTrue(triesBeforeSpared(Outcome.NO_PLACE) >= 2 * triesBeforeSpared(Outcome.REJECTED));
    }

    private static long triesBeforeSpared(Outcome outcome) {
        RouterHarness b = RouterHarness.withCacheNodes(4);
        int since = 0;
        for (int i = 0; i < 200; i++) {
            String id = b.request("dear", i);
            if (b.nodeOf(id).equals("c0")) {
                since = i;
                b.endAttempt(id, outcome);
                assertNotEquals("c0", b.nodeOf(id), "its other node is asked");
            }
            b.endAttempt(id, Outcome.OK);
            if (i - since > 40) {
                break;
            }
        }
        return b.actions.sentTo("c0");
    }
}
