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
        assertEquals(AdmissionLevel.LADDER.length, stepped(0, 50, AdmissionLevel.LADDER.length).level);
    }

    private static AdmissionLevel outnumbering() {
        var control = new AdmissionLevel();
        control.floor = AdmissionLevel.BASE_FLOOR / 2;
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
        for (int i = 1; i < AdmissionLevel.SPAN; i++) {
            alone.endInterval(1000, 0);
        }
        assertEquals(0, alone.level, "too old to wait for more");
    }

    @Test
    void ladderStartsAboveTheBaseAndEndsBelow() {
        assertTrue(AdmissionLevel.LADDER[0] > 1);
        for (int i = 1; i < AdmissionLevel.LADDER.length; i++) {
            assertTrue(AdmissionLevel.LADDER[i] < AdmissionLevel.LADDER[i - 1]);
        }
        assertTrue(AdmissionLevel.LADDER[AdmissionLevel.LADDER.length - 1] < 1);
    }

    @Test
    void baseFollowsThePeakDecaysSlowlyAndIsHeldWhileThrottled() {
        var control = stepped(40, 0, 0);
        assertEquals(40, control.base);
        control.endInterval(1000, 0);
        assertEquals(40 * AdmissionLevel.BASE_DECAY, control.base, 1e-9);
        control.level = 3;
        control.endInterval(1000, 0);
        assertEquals(40 * AdmissionLevel.BASE_DECAY, control.base, 1e-9);
        assertEquals(1, stepped(0, 0, 0).base);
    }

    @Test
    void theLevelWaitsUntilTheBaseIsLearned() {
        var control = new AdmissionLevel();
        for (int i = 0; i < AdmissionLevel.LEARNED; i++) {
            assertEquals(0, control.level);
            for (int j = 0; j < AdmissionLevel.THIN; j++) {
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
        Bench b = Bench.withCaches(4);
        for (int i = 1; i < AdmissionLevel.LEARNED; i++) {
            b.interval(5, 0);
        }
        b.interval(3, 4);
        int before = b.out.refused.size();
        int cheapFetches = 0;
        int dearFetches = 0;
        for (int i = 0; i < 40; i++) {
            boolean cheap = i % 2 == 0;
            String id = b.ask(cheap ? "cheap" : "dear", 5000 + i);
            while (b.out.answers(id) == 0 && !b.nodeOf(id).equals("db")) {
                b.end(id, Outcome.MISS);
            }
            if (b.out.answers(id) == 0) {
                b.end(id, Outcome.OK);
                cheapFetches += cheap ? 1 : 0;
                dearFetches += cheap ? 0 : 1;
            }
            b.advance(10);
        }
        assertTrue(b.out.refused.size() > before);
        assertTrue(dearFetches > cheapFetches, dearFetches + " dear, " + cheapFetches + " cheap");
        assertTrue(b.out.log.stream().anyMatch(l -> l.matches("refuse q\\d+ [1-9].*")));
    }

    @Test
    void aRefusedReadThatComesBackCostsNoFurtherMissWhileThrottled() {
        Bench b = Bench.withCaches(4);
        for (int i = 1; i < AdmissionLevel.LEARNED; i++) {
            b.interval(5, 0);
        }
        b.interval(3, 4);
        String refused = null;
        long key = 8000;
        while (refused == null) {
            String id = b.ask("dear", ++key);
            while (b.out.answers(id) == 0 && !b.nodeOf(id).equals("db")) {
                b.end(id, Outcome.MISS);
            }
            refused = b.out.answers(id) > 0 ? id : null;
        }
        String retry = b.ask("dear", key);
        assertEquals(1, b.out.answers(retry));
        assertEquals(0, b.sendsOf(retry));
        b.advance(500);
        assertEquals(1, b.sendsOf(b.ask("dear", key)));
    }

    @Test
    void theLastLevelIsLeftOnlyOnceTheBankRefusesNoMore() {
        var control = new AdmissionLevel();
        for (int i = 0; i < AdmissionLevel.LEARNED; i++) {
            for (int j = 0; j < 40; j++) {
                control.recordFetch(true);
            }
            control.endInterval(1000, 0);
        }
        assertEquals(40, control.base, 1e-9);
        control.level = 1;
        control.endInterval(1000, 3);
        assertEquals(1, control.level);
        assertEquals(40 * AdmissionLevel.BASE_GROWTH, control.base, 1e-9);
        control.endInterval(1000, 0);
        assertEquals(0, control.level);
    }

    @Test
    void aTenantPastItsQuotaIsTurnedAwayBeforeOneWithinIt() {
        var s = Bench.settings(true, false);
        var tenants = List.of(new Router.Tenant("greedy", 10), new Router.Tenant("modest", 1000));
        Bench b = new Bench(new Router.Settings(0, 2, "z", 5, s.classes(), tenants, 0.05, false, s.limits(), s.rules(),
                false, Router.WeightMode.NONE, "origin"));
        b.list(4);
        for (int i = 1; i < AdmissionLevel.LEARNED; i++) {
            b.interval(5, 0);
        }
        b.interval(3, 4);
        int[] fetched = new int[2];
        for (int i = 0; i < 200; i++) {
            String tenant = i % 2 == 0 ? "greedy" : "modest";
            String id = tenant + i;
            b.router.onRequest(b.now, new Router.Request(id, "dear", tenant, 70_000 + i, 0, 800, false, false), b.out);
            while (b.out.answers(id) == 0 && !b.nodeOf(id).equals("db")) {
                b.end(id, Outcome.MISS);
            }
            if (b.out.answers(id) == 0) {
                b.end(id, Outcome.OK);
                fetched[i % 2]++;
            }
            b.advance(5);
        }
        assertTrue(fetched[1] > 2 * fetched[0], fetched[0] + " past the quota, " + fetched[1] + " within");
    }
}
