package ridgemill.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import ridgemill.policy.Router.Outcome;

/** A node or a store that has no place for one more connection is neither overloaded nor dead. */
class NoPlaceTest {

    private static String fetching(Bench b, long key) {
        String id = b.ask("dear", key);
        while (!b.nodeOf(id).equals("db")) {
            b.end(id, Outcome.MISS);
        }
        return id;
    }

    @Test
    void aFetchWithoutAPlaceIsTriedOnceMoreALittleLater() {
        Bench b = Bench.withCaches(4);
        String id = fetching(b, 1);
        long sends = b.sendsOf(id);
        b.end(id, Outcome.NO_PLACE);
        assertEquals(sends, b.sendsOf(id), "others need time to make room");
        b.advance(BalancingRouter.PLACE_MS);
        assertEquals(sends + 1, b.sendsOf(id));
        assertEquals("db", b.nodeOf(id));
        b.end(id, Outcome.NO_PLACE);
        assertEquals(1, b.out.answers(id), "a second refusal ends it, at once");
    }

    @Test
    void aWriteIsRefusedAtOnceAndHasNotRun() {
        Bench b = Bench.withCaches(4);
        String id = b.ask("keyed", 1, true);
        assertEquals("db", b.nodeOf(id));
        b.end(id, Outcome.NO_PLACE);
        assertTrue(b.out.refused.contains(id));
        assertEquals(1, b.sendsOf(id));
    }

    @Test
    void oneWhoseTimeEndsBeforeThatIsAnsweredAtOnce() {
        Bench b = Bench.withCaches(4);
        String id = fetching(b, 1);
        b.advance(Bench.BUDGET - BalancingRouter.PLACE_MS);
        b.end(id, Outcome.NO_PLACE);
        assertEquals(1, b.out.answers(id));
    }

    @Test
    void aStoreWhoseTableIsFullIsNotThrottled() {
        Bench b = Bench.withCaches(4);
        for (int s = 0; s < 8; s++) {
            for (int i = 0; i < 20; i++) {
                String id = fetching(b, 1000 + 20 * s + i);
                if (i % 2 == 0) {
                    b.end(id, Outcome.OK);
                    continue;
                }
                b.end(id, Outcome.NO_PLACE);
                b.advance(BalancingRouter.PLACE_MS);
                b.end(id, Outcome.NO_PLACE);
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
        Bench b = Bench.withCaches(4);
        int since = 0;
        for (int i = 0; i < 200; i++) {
            String id = b.ask("dear", i);
            if (b.nodeOf(id).equals("c0")) {
                since = i;
                b.end(id, outcome);
                assertNotEquals("c0", b.nodeOf(id), "its other node is asked");
            }
            b.end(id, Outcome.OK);
            if (i - since > 40) {
                break;
            }
        }
        return b.out.sentTo("c0");
    }
}
