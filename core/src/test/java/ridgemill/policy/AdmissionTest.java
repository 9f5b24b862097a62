package ridgemill.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import ridgemill.policy.Router.Outcome;

/** The level, the base, the bank. */
class AdmissionTest {

    private static AdmissionLevel stepped(int good, int bad, int startLevel) {
        var control = new AdmissionLevel();
        control.level = startLevel;
        for (int i = 0; i < good; i++) {
            control.recordFetch(true);
        }
        for (int i = 0; i < bad; i++) {
            control.recordFetch(false);
        }
        control.endInterval(1000, 0);
        return control;
    }

    @Test
    void levelRisesOnlyAboveTenInAHundredBad() {
        assertEquals(1, stepped(90, 10, 1).level);
        assertEquals(2, stepped(89, 11, 1).level);
    }

    @Test
    void levelFallsOnlyBelowFiveInAHundredBad() {
        assertEquals(1, stepped(95, 5, 1).level);
        assertEquals(0, stepped(96, 4, 1).level);
    }

    @Test
    void levelFallsOnAThinSampleAndStaysInBounds() {
        assertEquals(1, stepped(3, 0, 2).level);
        assertEquals(0, stepped(0, 0, 0).level);
        assertEquals(AdmissionLevel.LEVEL_FACTORS.length, stepped(0, 50, AdmissionLevel.LEVEL_FACTORS.length).level);
    }

    private static AdmissionLevel outnumbering() {
        var control = new AdmissionLevel();
        control.minBaseline = AdmissionLevel.MIN_BASELINE / 2;
        control.level = 1;
        control.recordFetch(false);
        control.recordFetch(false);
        control.endInterval(1000, 0);
        return control;
    }

    @Test
    void aThinSampleWithABadFetchWaitsToGrowAndThenCounts() {
        var control = outnumbering();
        assertEquals(1, control.level);
        control.recordFetch(false);
        control.recordFetch(false);
        control.endInterval(1000, 0);
        assertEquals(2, control.level);
        var alone = outnumbering();
        for (int i = 1; i < AdmissionLevel.MAX_SAMPLE_INTERVALS; i++) {
            alone.endInterval(1000, 0);
        }
        assertEquals(0, alone.level, "too old to wait for more");
    }

    @Test
    void ladderStartsAboveTheBaseAndEndsBelow() {
        assertTrue(AdmissionLevel.LEVEL_FACTORS[0] > 1);
        for (int i = 1; i < AdmissionLevel.LEVEL_FACTORS.length; i++) {
            assertTrue(AdmissionLevel.LEVEL_FACTORS[i] < AdmissionLevel.LEVEL_FACTORS[i - 1]);
        }
        assertTrue(AdmissionLevel.LEVEL_FACTORS[AdmissionLevel.LEVEL_FACTORS.length - 1] < 1);
    }

    @Test
    void baseFollowsThePeakDecaysSlowlyAndIsHeldWhileThrottled() {
        var control = stepped(40, 0, 0);
        assertEquals(40, control.baseline);
        control.endInterval(1000, 0);
        assertEquals(40 * AdmissionLevel.BASELINE_DECAY, control.baseline, 1e-9);
        control.level = 3;
        control.endInterval(1000, 0);
        assertEquals(40 * AdmissionLevel.BASELINE_DECAY, control.baseline, 1e-9);
        assertEquals(1, stepped(0, 0, 0).baseline);
    }

    @Test
    void theLevelWaitsUntilTheBaseIsLearned() {
        var control = new AdmissionLevel();
        for (int i = 0; i < AdmissionLevel.MIN_LEARNED; i++) {
            assertEquals(0, control.level);
            for (int j = 0; j < AdmissionLevel.MIN_SAMPLE; j++) {
                control.recordFetch(false);
            }
            control.endInterval(1000, 0);
        }
        assertTrue(control.level > 0);
    }

    @Test
    void bankRefillsEvenlyAndHoldsAFewTokens() {
        var bank = new PriorityTokenBucket(PriorityTokenBucket.DEFAULT_CAPACITY);
        bank.setRate(0, 10);
        for (int i = 0; i < PriorityTokenBucket.DEFAULT_CAPACITY; i++) {
            assertTrue(bank.tryAcquire(0, false));
        }
        assertFalse(bank.tryAcquire(0, false));
        assertFalse(bank.tryAcquire(99, false));
        assertTrue(bank.tryAcquire(100, false));
        bank.tryAcquire(1_000_000, false);
        assertEquals(PriorityTokenBucket.DEFAULT_CAPACITY - 1, bank.tokens, 1e-9);
    }

    @Test
    void theLastTokenIsKeptForHigherWorth() {
        var bank = new PriorityTokenBucket(PriorityTokenBucket.DEFAULT_CAPACITY);
        bank.setRate(0, 1);
        bank.tokens = 1;
        assertFalse(bank.tryAcquire(0, true));
        assertTrue(bank.tryAcquire(0, false));
    }

    @Test
    void anEmptyBankRefusesAtOnceWithAdviceAndLowWorthGoesFirst() {
        RouterHarness b = RouterHarness.withCacheNodes(4);
        for (int i = 1; i < AdmissionLevel.MIN_LEARNED; i++) {
            b.runInterval(5, 0);
        }
        b.runInterval(3, 4);
        int before = b.actions.refusedRequests.size();
        int cheapFetches = 0;
        int dearFetches = 0;
        for (int i = 0; i < 40; i++) {
            boolean cheap = i % 2 == 0;
            String id = b.request(cheap ? "cheap" : "dear", 5000 + i);
            while (b.actions.finalAnswers(id) == 0 && !b.nodeOf(id).equals("db")) {
                b.endAttempt(id, Outcome.MISS);
            }
            if (b.actions.finalAnswers(id) == 0) {
                b.endAttempt(id, Outcome.OK);
                cheapFetches += cheap ? 1 : 0;
                dearFetches += cheap ? 0 : 1;
            }
            b.advance(10);
        }
        assertTrue(b.actions.refusedRequests.size() > before);
        assertTrue(dearFetches > cheapFetches, dearFetches + " dear, " + cheapFetches + " cheap");
        assertTrue(b.actions.log.stream().anyMatch(l -> l.matches("refuse q\\d+ [1-9].*")));
    }

    @Test
    void aRefusedReadThatComesBackCostsNoFurtherMissWhileThrottled() {
        RouterHarness b = RouterHarness.withCacheNodes(4);
        for (int i = 1; i < AdmissionLevel.MIN_LEARNED; i++) {
            b.runInterval(5, 0);
        }
        b.runInterval(3, 4);
        String refused = null;
        long key = 8000;
        while (refused == null) {
            String id = b.request("dear", ++key);
            while (b.actions.finalAnswers(id) == 0 && !b.nodeOf(id).equals("db")) {
                b.endAttempt(id, Outcome.MISS);
            }
            refused = b.actions.finalAnswers(id) > 0 ? id : null;
        }
        String retry = b.request("dear", key);
        assertEquals(1, b.actions.finalAnswers(retry));
        assertEquals(0, b.sendCount(retry));
        b.advance(500);
        assertEquals(1, b.sendCount(b.request("dear", key)));
    }

    @Test
    void theLastLevelIsLeftOnlyOnceTheBankRefusesNoMore() {
        var control = new AdmissionLevel();
        for (int i = 0; i < AdmissionLevel.MIN_LEARNED; i++) {
            for (int j = 0; j < 40; j++) {
                control.recordFetch(true);
            }
            control.endInterval(1000, 0);
        }
        assertEquals(40, control.baseline, 1e-9);
        control.level = 1;
        control.endInterval(1000, 3);
        assertEquals(1, control.level);
        assertEquals(40 * AdmissionLevel.BASELINE_GROWTH, control.baseline, 1e-9);
        control.endInterval(1000, 0);
        assertEquals(0, control.level);
    }

    @Test
    void aTenantPastItsQuotaIsTurnedAwayBeforeOneWithinIt() {
        var s = RouterHarness.settings(true, false);
        var tenants = List.of(new Router.Tenant("greedy", 10), new Router.Tenant("modest", 1000));
        RouterHarness b = new RouterHarness(new Router.Settings(0, 2, "z", 5, s.classes(), tenants, 0.05, false, s.limits(), s.rules(),
                false, Router.WeightMode.NONE, "origin"));
        b.listNodes(4);
        for (int i = 1; i < AdmissionLevel.MIN_LEARNED; i++) {
            b.runInterval(5, 0);
        }
        b.runInterval(3, 4);
        int[] fetched = new int[2];
        for (int i = 0; i < 200; i++) {
            String tenant = i % 2 == 0 ? "greedy" : "modest";
            String id = tenant + i;
            b.router.onRequest(b.now, new Router.Request(id, "dear", tenant, 70_000 + i, 0, 800, false, false), b.actions);
            while (b.actions.finalAnswers(id) == 0 && !b.nodeOf(id).equals("db")) {
                b.endAttempt(id, Outcome.MISS);
            }
            if (b.actions.finalAnswers(id) == 0) {
                b.endAttempt(id, Outcome.OK);
                fetched[i % 2]++;
            }
            b.advance(5);
        }
        assertTrue(fetched[1] > 2 * fetched[0], fetched[0] + " past the quota, " + fetched[1] + " within");
    }
}
