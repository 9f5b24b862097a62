package ridgemill.deadline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import ridgemill.deadline.ClientTimeout.RawValue;
import ridgemill.deadline.ClientTimeout.Format;

/** What a time is made of, on time that is passed in. */
class DeadlineTest {

    private static final double NOW = 1_700_000_000_000.0;

    @ParameterizedTest
    @CsvSource({"SECONDS,0.480,480", "SECONDS,0,0", "SECONDS,3600,3600000", "SECONDS,+1.5,1500", "SECONDS,.5,500",
        "GRPC,100m,100", "GRPC,2S,2000", "GRPC,1H,3600000", "GRPC,500u,0.5", "GRPC,99999999n,99.999999", "GRPC,0m,0",
        "UNIX_MS,1700000000250,250", "UNIX_MS,1699999999000,0", "SECONDS,-0,0"})
    void aTimeIsReadInEachForm(Format form, String text, double ms) {
        assertEquals(ms, assertInstanceOf(ClientTimeout.Remaining.class, ClientTimeout.parse(List.of(new RawValue(form, text)), NOW)).ms(), 1e-6);
    }

    @ParameterizedTest
    @CsvSource(value = {"SECONDS|NaN|no number", "SECONDS|Infinity|no number", "SECONDS|1e3|no number", "SECONDS|0x10|no number",
        "SECONDS||no number", "SECONDS|1,5|no number", "SECONDS|1 2|no number", "SECONDS|.|no number", "SECONDS|-|no number",
        "SECONDS|-0.1|negative", "SECONDS|3600.1|over an hour", "SECONDS|99999999999999999999999999999999|over an hour",
        "SECONDS|999999999999999999999999999999999999|no number",
        "GRPC|100|no number", "GRPC|m|no number", "GRPC|123456789m|no number", "GRPC|-1m|no number", "GRPC|1.5S|no number",
        "GRPC|2H|over an hour", "GRPC|5x|no number", "UNIX_MS|-1|negative", "UNIX_MS|1800000000000|over an hour"}, delimiter = '|')
    void nonsenseHasOneOutcomeEach(Format form, String text, String why) {
        ClientTimeout.Parsed read = ClientTimeout.parse(List.of(new RawValue(form, text == null ? "" : text)), NOW);
        assertTrue(assertInstanceOf(ClientTimeout.Invalid.class, read).reason().contains(why), read.toString());
    }

    @Test
    void theSameFormTwiceIsNonsenseAndOfSeveralFormsTheShortestHolds() {
        RawValue half = new RawValue(Format.SECONDS, "0.5");
        assertInstanceOf(ClientTimeout.Invalid.class, ClientTimeout.parse(List.of(half, half), NOW));
        assertEquals(new ClientTimeout.Remaining(200), ClientTimeout.parse(List.of(half, new RawValue(Format.GRPC, "200m")), NOW));
        assertInstanceOf(ClientTimeout.Absent.class, ClientTimeout.parse(List.of(), NOW));
    }

    /** Whatever comes, it is read to a time within bounds or called unfit. */
    @Test
    void noTextIsReadToATimeOutOfBounds() {
        long seed = System.nanoTime();
        System.out.println("DeadlineTest seed " + seed);
        SplittableRandom random = new SplittableRandom(seed);
        String alphabet = "0123456789.-+eEHMSmunxNaI \t,;\u0000\u00e9";
        for (int i = 0; i < 200_000; i++) {
            StringBuilder text = new StringBuilder();
            for (int n = random.nextInt(14); n > 0; n--) {
                text.append(alphabet.charAt(random.nextInt(random.nextBoolean() ? 11 : alphabet.length())));
            }
            Format form = Format.values()[random.nextInt(Format.values().length)];
            if (ClientTimeout.parse(List.of(new RawValue(form, text.toString())), NOW) instanceof ClientTimeout.Remaining l) {
                assertTrue(l.ms() >= 0 && l.ms() <= ClientTimeout.MAX_MS, text + ", seed " + seed);
            }
        }
    }

    private static ClassTimings times(Deadlines all) {
        return all.group("").forClass("read");
    }

    @Test
    void whatTheQuickestAnswersDoNotFitIntoIsDroppedAndIsTriedAgainWhenThatIsOld() {
        Deadlines all = new Deadlines(DeadlinePolicy.DEFAULT);
        ClassTimings times = times(all);
        assertEquals(Verdict.GO, times.checkSend(0, 0, 1, true, true), "nothing is known yet");
        for (int i = 0; i < 200; i++) {
            times.attemptAnswered(i, 100 + i % 50, true, false);
        }
        assertEquals(Verdict.LATE, times.checkSend(300, 0, 40, true, true));
        assertEquals(Verdict.GO, times.checkSend(300, 0, 140, true, true));
        assertEquals(Verdict.GO, times.checkSend(300, 0, 40, false, true), "caches are another matter");
        assertEquals(Verdict.LATE, times.checkStage(RequestStage.LINE, 300, 40));
        assertEquals(Verdict.LATE, times.checkWrite(300, 40, true));
        assertTrue(times.minRemainingMs(300) > 60 && times.minRemainingMs(300) <= 100, "" + times.minRemainingMs(300));
        assertEquals(3L, all.dropped());
        assertEquals(Verdict.GO, times.checkSend(300 + ResponseTimes.RETENTION_MS, 0, 40, true, true), "it may be quicker by now");
    }

    @Test
    void oneLuckyAnswerTellsNothing() {
        ResponseTimes times = new ResponseTimes();
        times.answered(0, 0.2);
        for (int i = 0; i < 100; i++) {
            times.answered(i, 100);
        }
        assertTrue(times.minMs(100) > 60, "" + times.minMs(100));
        assertTrue(times.medianMs(100) > 70 && times.medianMs(100) <= 100);
    }

    /** Clients that leave at 300 ms, of a store that takes 400: nobody reads what it answers, but for the few that are tried. */
    @Test
    void whatWouldEndUnreadIsNotSentAndIsLearnedAnewWhenClientsStay() {
        Deadlines all = new Deadlines(DeadlinePolicy.DEFAULT);
        ClassTimings times = times(all);
        double now = 0;
        int sent = 0;
        for (int i = 0; i < 400; i++) {
            now += 10;
            if (times.checkSend(now, 20, 1400, true, false) == Verdict.GO) {
                sent++;
                times.attemptAbandoned(now, 280, true);
                times.clientLeft(now, 300);
            } else {
                times.requestAnswered(now, 20);
            }
        }
        assertTrue(sent >= 40 && sent < 120, sent + " were sent: a few to learn from, and then one in so many");
        assertEquals(Verdict.GO, times.checkSend(now, 0, 1400, false, true), "a first look at a cache always goes");
        int back = 0;
        for (int i = 0; i < 4000; i++) {
            now += 10;
            if (times.checkSend(now, 20, 1400, true, false) == Verdict.GO) {
                back++;
                times.attemptAnswered(now, 400, true, false);
                times.requestAnswered(now, 420);
            }
        }
        assertTrue(back > 1500, back + " were sent once clients stay");
    }

    @Test
    void clientsThatAreAnsweredSayNothingOfThoseThatWouldStayLonger() {
        ClientPatience patience = new ClientPatience();
        for (int i = 0; i < 100; i++) {
            patience.answered(0, 50);
            patience.clientLeft(0, 500);
        }
        assertEquals(1, patience.probabilityOfStaying(0, 10, 100), 1e-9);
        assertEquals(0, patience.probabilityOfStaying(0, 100, 800), 1e-9);
    }

    @Test
    void theWayBackIsLearnedAndBoundedToAPartOfWhatIsLeft() {
        ReturnDelay back = new ReturnDelay();
        assertEquals(0, back.reserveMs());
        for (int i = 0; i < 200; i++) {
            back.record(20);
        }
        assertEquals(20, back.reserveMs(), 0.5);
        assertEquals(10, back.reserveMs(100, 0.1), 1e-9);
        Deadlines all = new Deadlines(DeadlinePolicy.DEFAULT);
        assertEquals(500 - 120 - 20, all.remainingMs(500, 120, back), 0.5);
        assertEquals(0, all.remainingMs(500, 3000, back));
        assertEquals(500, new Deadlines(DeadlinePolicy.OFF).remainingMs(500, 0, back));
    }

    @Test
    void aStallTellsHowOldWhatIsReadMayBe() {
        LoopStallDetector watch = new LoopStallDetector();
        assertEquals(0, watch.maxAgeMs(5));
        for (double t = 0; t <= 100; t += LoopStallDetector.TICK_INTERVAL_MS) {
            watch.tick(t);
        }
        assertEquals(0, watch.maxAgeMs(150), "a beat that is a little late is usual");
        assertEquals(3000 - 120, watch.maxAgeMs(3000), "read in the turn that follows, before the beat");
        watch.tick(3000);
        assertEquals(3010 - 120, watch.maxAgeMs(3010), "what came during a stall is not all read in one turn");
        for (double t = 3020; t <= 4000; t += LoopStallDetector.TICK_INTERVAL_MS) {
            watch.tick(t);
        }
        assertEquals(3990 - 120, watch.maxAgeMs(3990), "nor in a few");
        assertEquals(0, watch.maxAgeMs(4010));
        assertEquals(2880, watch.longestStallMs());
    }

    @Test
    void anAnswerIsHeldUpByNobodyPastItsTime() {
        PipelineDeadlines<String> order = new PipelineDeadlines<>();
        order.add("slow", 1500);
        assertEquals(Double.POSITIVE_INFINITY, order.nextDeadlineMs(), "it holds nobody up");
        order.add("quick", 300);
        order.add("last", 2000);
        assertEquals(300, order.nextDeadlineMs());
        assertEquals(List.of(), order.overdue(299));
        assertEquals(List.of("slow", "quick"), order.overdue(300));
        order.shorten("last", 100);
        assertEquals(List.of("slow", "quick", "last"), order.overdue(100));
        order.removeFirst();
        order.removeFirst();
        assertEquals(1, order.size());
        assertEquals(Double.POSITIVE_INFINITY, order.nextDeadlineMs());
    }

    @Test
    void aCancelClosesWhereThatRelievesMoreThanTheHandshakeCosts() {
        Deadlines all = new Deadlines(new DeadlinePolicy(true, true, true, 0.1));
        ClassTimings times = times(all);
        times.shouldCloseConnection(0, 5, true);
        for (int i = 0; i < 300; i++) {
            times.attemptAnswered(i, 60, true, false);
            times.attemptAnswered(i, 72, true, true);
        }
        assertTrue(times.shouldCloseConnection(300, 5, true), "most of 60 ms is to come, and a handshake costs 12");
        assertFalse(times.shouldCloseConnection(300, 58, true), "its answer is all but there");
        assertTrue(times.shouldCloseConnection(300, 500, true), "it is so late that it may never come");
        int closed = 0;
        for (int i = 0; i < 500; i++) {
            closed += times.shouldCloseConnection(300 + i * 10, 5, true) ? 1 : 0;
        }
        assertTrue(closed < 100, closed + " in 5 s: handshakes may take a tenth of a core");
        assertTrue(times(new Deadlines(DeadlinePolicy.DEFAULT)).shouldCloseConnection(0, 58, true), "without the weighing all are closed");
    }
}
