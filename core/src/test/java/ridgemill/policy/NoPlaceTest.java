package ridgemill.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import ridgemill.policy.Router.Outcome;

/** A node or origin without a free connection slot ({@link Outcome#NO_PLACE}) is neither overloaded nor dead. */
class NoPlaceTest {

    /** Sends a read that misses in the caches; its attempt at the origin is in flight. */
    private static String requestMissingInCache(RouterHarness harness, long key) {
        String id = harness.request("premium", key);
        while (!harness.nodeOf(id).equals("db")) {
            harness.endAttempt(id, Outcome.MISS);
        }
        return id;
    }

    @Test
    void fetchWithoutConnectionSlotIsRetriedOnce() {
        RouterHarness harness = RouterHarness.withCacheNodes(4);
        String id = requestMissingInCache(harness, 1);
        long sends = harness.sendCount(id);
        harness.endAttempt(id, Outcome.NO_PLACE);
        assertEquals(sends, harness.sendCount(id), "other proxies need time to free slots");
        harness.advance(BalancingRouter.NO_PLACE_RETRY_MS);
        assertEquals(sends + 1, harness.sendCount(id));
        assertEquals("db", harness.nodeOf(id));
        harness.endAttempt(id, Outcome.NO_PLACE);
        assertEquals(1, harness.actions.finalAnswers(id), "a second refusal must end the request at once");
    }

    @Test
    void writeWithoutConnectionSlotIsRefusedAtOnce() {
        RouterHarness harness = RouterHarness.withCacheNodes(4);
        String id = harness.request("keyed", 1, true);
        assertEquals("db", harness.nodeOf(id));
        harness.endAttempt(id, Outcome.NO_PLACE);
        assertTrue(harness.actions.refusedRequests.contains(id));
        assertEquals(1, harness.sendCount(id));
    }

    @Test
    void requestWithoutTimeForRetryIsAnsweredAtOnce() {
        RouterHarness harness = RouterHarness.withCacheNodes(4);
        String id = requestMissingInCache(harness, 1);
        harness.advance(RouterHarness.BUDGET_MS - BalancingRouter.NO_PLACE_RETRY_MS);
        harness.endAttempt(id, Outcome.NO_PLACE);
        assertEquals(1, harness.actions.finalAnswers(id));
    }

    @Test
    void originWithFullConnectionTableIsNotThrottled() {
        RouterHarness harness = RouterHarness.withCacheNodes(4);
        for (int round = 0; round < 8; round++) {
            for (int i = 0; i < 20; i++) {
                String id = requestMissingInCache(harness, 1000 + 20 * round + i);
                if (i % 2 == 0) {
                    harness.endAttempt(id, Outcome.OK);
                    continue;
                }
                harness.endAttempt(id, Outcome.NO_PLACE);
                harness.advance(BalancingRouter.NO_PLACE_RETRY_MS);
                harness.endAttempt(id, Outcome.NO_PLACE);
            }
            harness.advance(500);
        }
        assertEquals(0, harness.router.admissionLevel());
    }

    /** A node that drains before the list shows it rejects in this way too, so that it must be ejected in the end. */
    @Test
    void nodeWithoutConnectionSlotIsEjectedLaterThanRejectingNode() {
        assertTrue(attemptsBeforeEjection(Outcome.NO_PLACE) >= 2 * attemptsBeforeEjection(Outcome.REJECTED));
    }

    private static long attemptsBeforeEjection(Outcome outcome) {
        RouterHarness harness = RouterHarness.withCacheNodes(4);
        int lastSentAt = 0;
        for (int i = 0; i < 200; i++) {
            String id = harness.request("premium", i);
            if (harness.nodeOf(id).equals("c0")) {
                lastSentAt = i;
                harness.endAttempt(id, outcome);
                assertNotEquals("c0", harness.nodeOf(id), "the retry must go to the other node");
            }
            harness.endAttempt(id, Outcome.OK);
            if (i - lastSentAt > 40) {
                break;
            }
        }
        return harness.actions.sentTo("c0");
    }
}
