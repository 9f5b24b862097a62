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

/** Tests of deadlines and of the timings that they rest on, on simulated time. */
class DeadlineTest {

    private static final double NOW = 1_700_000_000_000.0;

    @ParameterizedTest
    @CsvSource({"SECONDS,0.480,480", "SECONDS,0,0", "SECONDS,3600,3600000", "SECONDS,+1.5,1500", "SECONDS,.5,500",
        "GRPC,100m,100", "GRPC,2S,2000", "GRPC,1H,3600000", "GRPC,500u,0.5", "GRPC,99999999n,99.999999", "GRPC,0m,0",
        "UNIX_MS,1700000000250,250", "UNIX_MS,1699999999000,0", "SECONDS,-0,0"})
    void everyFormatIsParsed(Format format, String text, double ms) {
        assertEquals(ms,
                assertInstanceOf(ClientTimeout.Remaining.class,
                ClientTimeout.parse(List.of(new RawValue(format, text)), NOW)).ms(), 1e-6);
    }

    @ParameterizedTest
    @CsvSource(value = {"SECONDS|NaN|no number", "SECONDS|Infinity|no number", "SECONDS|1e3|no number",
        "SECONDS|0x10|no number",
        "SECONDS||no number", "SECONDS|1,5|no number", "SECONDS|1 2|no number", "SECONDS|.|no number",
        "SECONDS|-|no number",
        "SECONDS|-0.1|negative", "SECONDS|3600.1|over an hour", "SECONDS|99999999999999999999999999999999|over an hour",
        "SECONDS|999999999999999999999999999999999999|no number",
        "GRPC|100|no number", "GRPC|m|no number", "GRPC|123456789m|no number", "GRPC|-1m|no number",
        "GRPC|1.5S|no number",
        "GRPC|2H|over an hour", "GRPC|5x|no number", "UNIX_MS|-1|negative", "UNIX_MS|1800000000000|over an hour"},
        delimiter = '|')
    void malformedValuesAreInvalid(Format format, String text, String reason) {
        ClientTimeout.Parsed parsed = ClientTimeout.parse(List.of(new RawValue(format, text == null ? "" : text)), NOW);
        assertTrue(assertInstanceOf(ClientTimeout.Invalid.class, parsed).reason().contains(reason), parsed.toString());
    }

    @Test
    void duplicateFormatIsInvalidAndTheShortestOfSeveralFormatsHolds() {
        RawValue half = new RawValue(Format.SECONDS, "0.5");
        assertInstanceOf(ClientTimeout.Invalid.class, ClientTimeout.parse(List.of(half, half), NOW));
        assertEquals(new ClientTimeout.Remaining(200),
                ClientTimeout.parse(List.of(half, new RawValue(Format.GRPC, "200m")), NOW));
        assertInstanceOf(ClientTimeout.Absent.class, ClientTimeout.parse(List.of(), NOW));
    }

    /** Any text is either parsed to a timeout within bounds or invalid. */
    @Test
    void noTextIsParsedToATimeoutOutOfBounds() {
        long seed = System.nanoTime();
        System.out.println("DeadlineTest seed " + seed);
        SplittableRandom random = new SplittableRandom(seed);
        String alphabet = "0123456789.-+eEHMSmunxNaI \t,;\u0000\u00e9";
        for (int i = 0; i < 200_000; i++) {
            StringBuilder text = new StringBuilder();
            for (int n = random.nextInt(14); n > 0; n--) {
                text.append(alphabet.charAt(random.nextInt(random.nextBoolean() ? 11 : alphabet.length())));
            }
            Format format = Format.values()[random.nextInt(Format.values().length)];
            if (ClientTimeout.parse(List.of(new RawValue(format, text.toString())), NOW)
                    instanceof ClientTimeout.Remaining remaining) {
                assertTrue(remaining.ms() >= 0 && remaining.ms() <= ClientTimeout.MAX_MS, text + ", seed " + seed);
            }
        }
    }

    private static ClassTimings timings(Deadlines deadlines) {
        return deadlines.group("").forClass("read");
    }

    @Test
    void lateRequestsAreDroppedUntilTheSamplesExpire() {
        Deadlines deadlines = new Deadlines(DeadlinePolicy.DEFAULT);
        ClassTimings timings = timings(deadlines);
        assertEquals(Verdict.GO, timings.checkSend(0, 0, 1, true, true), "there are no samples yet");
        for (int i = 0; i < 200; i++) {
            timings.attemptAnswered(i, 100 + i % 50, true, false);
        }
        assertEquals(Verdict.LATE, timings.checkSend(300, 0, 40, true, true));
        assertEquals(Verdict.GO, timings.checkSend(300, 0, 140, true, true));
        assertEquals(Verdict.GO, timings.checkSend(300, 0, 40, false, true), "cache nodes have their own samples");
        assertEquals(Verdict.LATE, timings.checkStage(RequestStage.LINE, 300, 40));
        assertEquals(Verdict.LATE, timings.checkWrite(300, 40, true));
        assertTrue(timings.minRemainingMs(300) > 60 && timings.minRemainingMs(300) <= 100,
                "" + timings.minRemainingMs(300));
        assertEquals(3L, deadlines.dropped());
        assertEquals(Verdict.GO, timings.checkSend(300 + ResponseTimes.RETENTION_MS, 0, 40, true, true),
                "the samples have expired");
    }

    @Test
    void oneFastResponseDoesNotSetTheMinimum() {
        ResponseTimes timings = new ResponseTimes();
        timings.answered(0, 0.2);
        for (int i = 0; i < 100; i++) {
            timings.answered(i, 100);
        }
        assertTrue(timings.minMs(100) > 60, "" + timings.minMs(100));
        assertTrue(timings.medianMs(100) > 70 && timings.medianMs(100) <= 100);
    }

    /** Clients leave after 300 ms and the origin takes 400: its responses go unread, so only a few trials are sent. */
    @Test
    void attemptsThatWouldGoUnreadAreNotSentUntilClientsStay() {
        Deadlines deadlines = new Deadlines(DeadlinePolicy.DEFAULT);
        ClassTimings timings = timings(deadlines);
        double now = 0;
        int sent = 0;
        for (int i = 0; i < 400; i++) {
            now += 10;
            if (timings.checkSend(now, 20, 1400, true, false) == Verdict.GO) {
                sent++;
                timings.attemptAbandoned(now, 280, true);
                timings.clientLeft(now, 300);
            } else {
                timings.requestAnswered(now, 20);
            }
        }
        assertTrue(sent >= 40 && sent < 120, sent + " were sent: the first samples, and then one trial in 16");
        assertEquals(Verdict.GO, timings.checkSend(now, 0, 1400, false, true),
                "the first attempt at a cache node is always sent");
        int sentLater = 0;
        for (int i = 0; i < 4000; i++) {
            now += 10;
            if (timings.checkSend(now, 20, 1400, true, false) == Verdict.GO) {
                sentLater++;
                timings.attemptAnswered(now, 400, true, false);
                timings.requestAnswered(now, 420);
            }
        }
        assertTrue(sentLater > 1500, sentLater + " were sent after clients began to stay");
    }

    @Test
    void answeredRequestsAreCensoredInTheEstimateOfPatience() {
        ClientPatience patience = new ClientPatience();
        for (int i = 0; i < 100; i++) {
            patience.answered(0, 50);
            patience.clientLeft(0, 500);
        }
        assertEquals(1, patience.probabilityOfStaying(0, 10, 100), 1e-9);
        assertEquals(0, patience.probabilityOfStaying(0, 100, 800), 1e-9);
    }

    @Test
    void returnDelayIsEstimatedAndCappedAtAFractionOfTheRemainingTime() {
        ReturnDelay returnDelay = new ReturnDelay();
        assertEquals(0, returnDelay.reserveMs());
        for (int i = 0; i < 200; i++) {
            returnDelay.record(20);
        }
        assertEquals(20, returnDelay.reserveMs(), 0.5);
        assertEquals(10, returnDelay.reserveMs(100, 0.1), 1e-9);
        Deadlines deadlines = new Deadlines(DeadlinePolicy.DEFAULT);
        assertEquals(500 - 120 - 20, deadlines.remainingMs(500, 120, returnDelay), 0.5);
        assertEquals(0, deadlines.remainingMs(500, 3000, returnDelay));
        assertEquals(500, new Deadlines(DeadlinePolicy.OFF).remainingMs(500, 0, returnDelay));
    }

    @Test
    void stallBoundsTheAgeOfMessages() {
        LoopStallDetector detector = new LoopStallDetector();
        assertEquals(0, detector.maxAgeMs(5));
        for (double t = 0; t <= 100; t += LoopStallDetector.TICK_INTERVAL_MS) {
            detector.tick(t);
        }
        assertEquals(0, detector.maxAgeMs(150), "a tick that is slightly late is not a stall");
        assertEquals(3000 - 120, detector.maxAgeMs(3000), "read in the next iteration, before its tick");
        detector.tick(3000);
        assertEquals(3010 - 120, detector.maxAgeMs(3010),
                "messages that arrived during a stall are not all read in one iteration");
        for (double t = 3020; t <= 4000; t += LoopStallDetector.TICK_INTERVAL_MS) {
            detector.tick(t);
        }
        assertEquals(3990 - 120, detector.maxAgeMs(3990), "nor in the next few");
        assertEquals(0, detector.maxAgeMs(4010));
        assertEquals(2880, detector.longestStallMs());
    }

    @Test
    void requestsAheadOfADueOneAreOverdue() {
        PipelineDeadlines<String> pipeline = new PipelineDeadlines<>();
        pipeline.add("slow", 1500);
        assertEquals(Double.POSITIVE_INFINITY, pipeline.nextDeadlineMs(), "it holds up no other request");
        pipeline.add("quick", 300);
        pipeline.add("last", 2000);
        assertEquals(300, pipeline.nextDeadlineMs());
        assertEquals(List.of(), pipeline.overdue(299));
        assertEquals(List.of("slow", "quick"), pipeline.overdue(300));
        pipeline.shorten("last", 100);
        assertEquals(List.of("slow", "quick", "last"), pipeline.overdue(100));
        pipeline.removeFirst();
        pipeline.removeFirst();
        assertEquals(1, pipeline.size());
        assertEquals(Double.POSITIVE_INFINITY, pipeline.nextDeadlineMs());
    }

    @Test
    void cancellationClosesOnlyIfItSavesMoreThanAHandshake() {
        Deadlines deadlines = new Deadlines(new DeadlinePolicy(true, true, true, 0.1));
        ClassTimings timings = timings(deadlines);
        timings.shouldCloseConnection(0, 5, true);
        for (int i = 0; i < 300; i++) {
            timings.attemptAnswered(i, 60, true, false);
            timings.attemptAnswered(i, 72, true, true);
        }
        assertTrue(timings.shouldCloseConnection(300, 5, true),
                "most of the 60 ms would be saved, and a handshake costs 12");
        assertFalse(timings.shouldCloseConnection(300, 58, true), "the response is nearly there");
        assertTrue(timings.shouldCloseConnection(300, 500, true), "the response is so late that it may never arrive");
        int closedCount = 0;
        for (int i = 0; i < 500; i++) {
            closedCount += timings.shouldCloseConnection(300 + i * 10, 5, true) ? 1 : 0;
        }
        assertTrue(closedCount < 100, closedCount + " closed in 5 s: handshakes may take a tenth of a core");
        assertTrue(timings(new Deadlines(DeadlinePolicy.DEFAULT)).shouldCloseConnection(0, 58, true),
                "a policy that does not weigh the cost always closes");
    }
}
