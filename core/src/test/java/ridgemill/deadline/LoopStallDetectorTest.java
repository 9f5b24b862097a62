package ridgemill.deadline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How old what is read may be, after a loop stood still. */
class LoopStallDetectorTest {

    private final LoopStallDetector watch = new LoopStallDetector();

    /** Beats at their times, each so late, from one time to another. */
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

    /** The beat comes after what the same turn read. */
    @Test
    void whatIsReadBeforeTheFirstBeatAfterAStopMayBeAsOldAsTheStop() {
        beats(0, 1000, 0);
        assertEquals(2480, watch.maxAgeMs(3480), 20);
        watch.tick(3480);
        assertEquals(2490, watch.maxAgeMs(3490), 20);
    }

    /** A backlog of seconds takes longer to read than the first moments. */
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

    /** A second of service is the most that it may cost. */
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

    /** It reads between its turns, so that nothing waits for longer than some of these. */
    @Test
    void aLoopThatIsBusyForGoodTakesNothingForOlderThanTwoOfItsTurns() {
        beats(0, 1000, 0);
        for (double at = 1000; at < 20_000; at += LoopStallDetector.TICK_INTERVAL_MS + 130) {
            assertTrue(watch.maxAgeMs(at) <= 2 * (LoopStallDetector.TICK_INTERVAL_MS + 130), "age " + watch.maxAgeMs(at) + " at " + at);
            watch.tick(at);
            assertTrue(watch.maxAgeMs(at + 5) <= 2 * (LoopStallDetector.TICK_INTERVAL_MS + 130), "age " + watch.maxAgeMs(at + 5) + " after " + at);
        }
    }

    /** What a process could not read for stalls is still to be read after them. */
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

    /** And not for ever, where it is busy for good. */
    @Test
    void aBusyLoopHasCaughtUpSomeSecondsAfterALongStop() {
        beats(0, 1000, 0);
        watch.tick(3500);
        double now = beats(3520, 8000, 130);
        assertTrue(watch.maxAgeMs(now) <= 2 * (LoopStallDetector.TICK_INTERVAL_MS + 130), "age " + watch.maxAgeMs(now));
    }
}
