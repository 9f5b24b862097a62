package ridgemill.deadline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How old a message may be that is read after the event loop stalled. */
class LoopStallDetectorTest {

    private final LoopStallDetector detector = new LoopStallDetector();

    /** Ticks from one time to another, each late by {@code lateMs}; returns when the next one is due. */
    private double ticks(double from, double to, double lateMs) {
        double at = from;
        while (at < to) {
            detector.tick(at);
            at += LoopStallDetector.TICK_INTERVAL_MS + lateMs;
        }
        return at;
    }

    @Test
    void messagesReadByARunningLoopAreNew() {
        ticks(0, 1000, 3);
        assertEquals(0, detector.maxAgeMs(1000));
    }

    /** An iteration of the loop reads messages before it ticks. */
    @Test
    void messagesReadBeforeTheFirstTickAfterAStopMayBeAsOldAsTheStop() {
        ticks(0, 1000, 0);
        assertEquals(2480, detector.maxAgeMs(3480), 20);
        detector.tick(3480);
        assertEquals(2490, detector.maxAgeMs(3490), 20);
    }

    /** A backlog of seconds is not read at once. */
    @Test
    void messagesMayBeOldForAWhileAfterALongStop() {
        ticks(0, 1000, 0);
        detector.tick(3500);
        double catchingUp = ticks(3520, 4400, 0);
        assertTrue(detector.maxAgeMs(catchingUp) > 2500, () -> "age " + detector.maxAgeMs(catchingUp));
        double caughtUp = ticks(catchingUp, 4600, 0);
        assertEquals(0, detector.maxAgeMs(caughtUp));
    }

    @Test
    void secondStallDoesNotHideTheFirst() {
        ticks(0, 1000, 0);
        detector.tick(3500);
        assertTrue(detector.maxAgeMs(3670) > 2600, "the tick is overdue again");
        detector.tick(3670);
        assertTrue(detector.maxAgeMs(3680) > 2600, () -> "age " + detector.maxAgeMs(3680));
    }

    /** Messages may be taken to be too old for one second at most. */
    @Test
    void catchingUpAfterAStopOfMinutesEndsWithinASecond() {
        ticks(0, 1000, 0);
        detector.tick(100_000);
        double later = ticks(100_020, 101_010, 0);
        assertEquals(0, detector.maxAgeMs(later));
    }

    @Test
    void catchingUpAfterAShortStallEndsSoonInABusyLoop() {
        ticks(0, 1000, 0);
        detector.tick(1200);
        double later = ticks(1230, 1300, 12);
        assertEquals(0, detector.maxAgeMs(later));
    }

    /** The loop reads in each iteration, so no message waits for longer than a few iterations. */
    @Test
    void permanentlyBusyLoopTakesNoMessageToBeOlderThanTwoIterations() {
        ticks(0, 1000, 0);
        for (double at = 1000; at < 20_000; at += LoopStallDetector.TICK_INTERVAL_MS + 130) {
            assertTrue(detector.maxAgeMs(at) <= 2 * (LoopStallDetector.TICK_INTERVAL_MS + 130),
                    "age " + detector.maxAgeMs(at) + " at " + at);
            detector.tick(at);
            assertTrue(detector.maxAgeMs(at + 5) <= 2 * (LoopStallDetector.TICK_INTERVAL_MS + 130),
                    "age " + detector.maxAgeMs(at + 5) + " after " + at);
        }
    }

    /** Messages that could not be read because of further stalls still have to be read after them. */
    @Test
    void stallsWhileCatchingUpExtendIt() {
        ticks(0, 1000, 0);
        detector.tick(3500);
        double now = 3520;
        for (int i = 0; i < 10; i++) {
            now += 150;
            detector.tick(now);
            now += LoopStallDetector.TICK_INTERVAL_MS;
        }
        assertTrue(detector.maxAgeMs(now) > 2500, "age " + detector.maxAgeMs(now));
        assertEquals(0, detector.maxAgeMs(ticks(now, now + 1000, 0)));
    }

    /** A permanently busy loop does not extend the time of catching up forever. */
    @Test
    void busyLoopHasCaughtUpSomeSecondsAfterALongStop() {
        ticks(0, 1000, 0);
        detector.tick(3500);
        double now = ticks(3520, 8000, 130);
        assertTrue(detector.maxAgeMs(now) <= 2 * (LoopStallDetector.TICK_INTERVAL_MS + 130),
                "age " + detector.maxAgeMs(now));
    }
}
