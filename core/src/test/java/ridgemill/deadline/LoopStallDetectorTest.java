package ridgemill.deadline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How old a message may be that is read after the event loop stalled. */
class LoopStallDetectorTest {

    private final LoopStallDetector watch = new LoopStallDetector();

    /** Ticks from one time to another, each late by {@code lateMs}; returns when the next one is due. */
    private double beats(double from, double to, double late) {
        double at = from;
        while (at < to) {
            watch.tick(at);
            at += LoopStallDetector.TICK_INTERVAL_MS + late;
        }
        return at;
    }

    @Test
    void whatIsReadByALoopThatTurnsIsNew() {
        beats(0, 1000, 3);
        assertEquals(0, watch.maxAgeMs(1000));
    }

    /** An iteration of the loop reads messages before it ticks. */
    @Test
    void whatIsReadBeforeTheFirstBeatAfterAStopMayBeAsOldAsTheStop() {
        beats(0, 1000, 0);
        assertEquals(2480, watch.maxAgeMs(3480), 20);
        watch.tick(3480);
        assertEquals(2490, watch.maxAgeMs(3490), 20);
    }

    /** A backlog of seconds is not read at once. */
    @Test
    void afterALongStopWhatIsReadMayBeOldForAWhile() {
        beats(0, 1000, 0);
        watch.tick(3500);
        double still = beats(3520, 4400, 0);
        assertTrue(watch.maxAgeMs(still) > 2500, () -> "age " + watch.maxAgeMs(still));
        double caughtUp = beats(still, 4600, 0);
        assertEquals(0, watch.maxAgeMs(caughtUp));
    }

    @Test
    void aSecondStallAtOnceDoesNotHideTheFirst() {
        beats(0, 1000, 0);
        watch.tick(3500);
        assertTrue(watch.maxAgeMs(3670) > 2600, "the beat is overdue again");
        watch.tick(3670);
        assertTrue(watch.maxAgeMs(3680) > 2600, () -> "age " + watch.maxAgeMs(3680));
    }

    /** Messages may be taken to be too old for one second at most. */
    @Test
    void aStopOfMinutesIsCaughtUpWithInASecond() {
        beats(0, 1000, 0);
        watch.tick(100_000);
        double later = beats(100_020, 101_010, 0);
        assertEquals(0, watch.maxAgeMs(later));
    }

    @Test
    void aShortStallIsOverSoonHoweverBusyTheLoop() {
        beats(0, 1000, 0);
        watch.tick(1200);
        double later = beats(1230, 1300, 12);
        assertEquals(0, watch.maxAgeMs(later));
    }

    /** The loop reads in each iteration, so no message waits for longer than a few iterations. */
    @Test
    void aLoopThatIsBusyForGoodTakesNothingForOlderThanTwoOfItsTurns() {
        beats(0, 1000, 0);
        for (double at = 1000; at < 20_000; at += LoopStallDetector.TICK_INTERVAL_MS + 130) {
            assertTrue(watch.maxAgeMs(at) <= 2 * (LoopStallDetector.TICK_INTERVAL_MS + 130),
                    "age " + watch.maxAgeMs(at) + " at " + at);
            watch.tick(at);
            assertTrue(watch.maxAgeMs(at + 5) <= 2 * (LoopStallDetector.TICK_INTERVAL_MS + 130),
                    "age " + watch.maxAgeMs(at + 5) + " after " + at);
        }
    }

    /** Messages that could not be read because of further stalls still have to be read after them. */
    @Test
    void stallsWhileALongStopIsCaughtUpWithPutItsEndOff() {
        beats(0, 1000, 0);
        watch.tick(3500);
        double now = 3520;
        for (int i = 0; i < 10; i++) {
            now += 150;
            watch.tick(now);
            now += LoopStallDetector.TICK_INTERVAL_MS;
        }
        assertTrue(watch.maxAgeMs(now) > 2500, "age " + watch.maxAgeMs(now));
        assertEquals(0, watch.maxAgeMs(beats(now, now + 1000, 0)));
    }

    /** A permanently busy loop does not extend the time of catching up forever. */
    @Test
    void aBusyLoopHasCaughtUpSomeSecondsAfterALongStop() {
        beats(0, 1000, 0);
        watch.tick(3500);
        double now = beats(3520, 8000, 130);
        assertTrue(watch.maxAgeMs(now) <= 2 * (LoopStallDetector.TICK_INTERVAL_MS + 130),
                "age " + watch.maxAgeMs(now));
    }
}
