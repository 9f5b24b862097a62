package ridgemill.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import ridgemill.lease.TargetSchedule.Outcome;

/** Checks which target is next, and how outcomes are recorded. */
class TargetScheduleTest {

    @Test
    void runStartedByOperatorsCallsEachTargetOnce() {
        TargetSchedule schedule = new TargetSchedule(3, 0, 0);
        assertFalse(schedule.isLeaseWanted());
        assertEquals(-1, schedule.nextTarget(1e9));
        assertTrue(schedule.start(10));
        assertFalse(schedule.start(11), "a run is in progress");
        for (int i = 0; i < 3; i++) {
            assertTrue(schedule.isLeaseWanted());
            assertEquals(i, schedule.nextTarget(20));
            schedule.recordOutcome(Outcome.DONE);
        }
        assertEquals(-1, schedule.nextTarget(30));
        assertFalse(schedule.isLeaseWanted());
        assertTrue(schedule.start(40));
    }

    @Test
    void failingTargetIsRetriedAndThenSkipped() {
        TargetSchedule schedule = new TargetSchedule(2, 0, 0);
        schedule.start(0);
        for (int i = 0; i < TargetSchedule.MAX_TRIES; i++) {
            assertEquals(0, schedule.nextTarget(i));
            schedule.recordOutcome(Outcome.FAILED);
        }
        assertEquals(1, schedule.nextTarget(10));
        assertTrue(schedule.explain().contains("failed at try 3, not yet"), schedule::explain);
    }

    @Test
    void refusedCallIsRepeated() {
        TargetSchedule schedule = new TargetSchedule(1, 0, 0);
        schedule.start(0);
        for (int i = 0; i < 10; i++) {
            assertEquals(0, schedule.nextTarget(i), "a refused call took no effect");
            schedule.recordOutcome(Outcome.REFUSED);
        }
        schedule.recordOutcome(Outcome.DONE);
        assertTrue(schedule.explain().endsWith("1 runs, 11 acts, 10 refused, 0 failed"), schedule::explain);
    }

    @Test
    void repeatedTaskKeepsItsInterval() {
        TargetSchedule schedule = new TargetSchedule(1, 100, 50);
        assertTrue(schedule.isLeaseWanted());
        assertEquals(0, schedule.nextTarget(50));
        schedule.recordOutcome(Outcome.DONE);
        assertEquals(-1, schedule.nextTarget(149));
        assertEquals(150, schedule.dueAt());
        assertEquals(0, schedule.nextTarget(150));
    }
}
