package ridgemill.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import ridgemill.lease.TargetSchedule.Outcome;

/** Which act is next, and what came of those before. */
class SweepTest {

    @Test
    void oneThatOperatorsStartGoesOverItsTargetsOnce() {
        TargetSchedule sweep = new TargetSchedule(3, 0, 0);
        assertFalse(sweep.wantsLease());
        assertEquals(-1, sweep.nextTarget(1e9));
        assertTrue(sweep.start(10));
        assertFalse(sweep.start(11), "one is under way");
        for (int i = 0; i < 3; i++) {
            assertTrue(sweep.wantsLease());
            assertEquals(i, sweep.nextTarget(20));
            sweep.recordOutcome(Outcome.DONE);
        }
        assertEquals(-1, sweep.nextTarget(30));
        assertFalse(sweep.wantsLease());
        assertTrue(sweep.start(40));
    }

    @Test
    void aTargetThatFailsIsTriedAgainAndThenLeftOut() {
        TargetSchedule sweep = new TargetSchedule(2, 0, 0);
        sweep.start(0);
        for (int i = 0; i < TargetSchedule.MAX_TRIES; i++) {
            assertEquals(0, sweep.nextTarget(i));
            sweep.recordOutcome(Outcome.FAILED);
        }
        assertEquals(1, sweep.nextTarget(10));
        assertTrue(sweep.explain().contains("failed at try 3, not yet"), sweep::explain);
    }

    @Test
    void anActThatIsRefusedIsForTheNextLease() {
        TargetSchedule sweep = new TargetSchedule(1, 0, 0);
        sweep.start(0);
        for (int i = 0; i < 10; i++) {
            assertEquals(0, sweep.nextTarget(i), "as often as it takes: it took no effect");
            sweep.recordOutcome(Outcome.REFUSED);
        }
        sweep.recordOutcome(Outcome.DONE);
        assertTrue(sweep.explain().endsWith("1 runs, 11 acts, 10 refused, 0 failed"), sweep::explain);
    }

    @Test
    void oneThatGoesOnByItselfKeepsItsTime() {
        TargetSchedule sweep = new TargetSchedule(1, 100, 50);
        assertTrue(sweep.wantsLease());
        assertEquals(0, sweep.nextTarget(50));
        sweep.recordOutcome(Outcome.DONE);
        assertEquals(-1, sweep.nextTarget(149));
        assertEquals(150, sweep.dueAt());
        assertEquals(0, sweep.nextTarget(150));
    }
}
