package ridgemill.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import ridgemill.limit.Limiter.Admitted;
import ridgemill.limit.Limiter.Reason;
import ridgemill.limit.Limiter.Refused;
import ridgemill.limit.Limiter.Verdict;

/** Buckets against a reference, and what limits refuse, in what order and until when. */
class LimiterTest {

    private static final double START = 1_000_000;

    private static Limits limits(Map<String, Rate> classes, Map<String, Rate> tenants, Rate unknown,
                                 RetryBudget.Config retries) {
        return new Limits(Integer.MAX_VALUE, Map.of(), classes, tenants, unknown, retries);
    }

    private static Refused refused(Verdict verdict, Reason reason) {
        Refused refused = assertInstanceOf(Refused.class, verdict);
        assertEquals(reason, refused.reason());
        assertTrue(refused.retryAfterMs() > 0, "a refusal tells when to come back");
        return refused;
    }

    private static void admitted(Verdict verdict) {
        assertInstanceOf(Admitted.class, verdict);
    }

    /** A bucket in whole micro-tokens and microseconds, which rounds nothing. */
    private static final class Reference {
        private final long perMicro;
        private final long most;
        private long held;
        private long at;

        /** One request takes a million million units; a rate of r fills r units each microsecond times a million. */
        Reference(long perSecond, long burst, long atMicros) {
            perMicro = perSecond * 1_000_000;
            most = burst * 1_000_000_000_000L;
            held = most;
            at = atMicros;
        }

        boolean tryTake(long nowMicros) {
            held = Math.min(most, held + (nowMicros - at) * perMicro);
            at = nowMicros;
            if (held < 1_000_000_000_000L) {
                return false;
            }
            held -= 1_000_000_000_000L;
            return true;
        }
    }

    @Test
    void aBucketAdmitsAsTheReferenceDoes() {
        long seed = System.nanoTime();
        System.out.println("LimiterTest seed " + seed);
        SplittableRandom random = new SplittableRandom(seed);
        for (int round = 0; round < 200; round++) {
            long rate = 1 + random.nextInt(1000);
            long burst = 1 + random.nextInt(50);
            long micros = 0;
            TokenBucket bucket = new TokenBucket(new Rate(rate, burst), START);
            Reference reference = new Reference(rate, burst, 0);
            int differ = 0;
            int admitted = 0;
            for (int i = 0; i < 2000; i++) {
                micros += random.nextInt((int) (3_000_000 / rate));
                boolean took = bucket.tryTake(START + micros / 1000.0);
                boolean wanted = reference.tryTake(micros);
                admitted += took ? 1 : 0;
                differ += took == wanted ? 0 : 1;
            }
            // A token that is whole to the last bit may come one request sooner or later, and no sum drifts.
            assertTrue(differ <= 2, differ + " of " + admitted + ", seed " + seed);
        }
    }

    @ParameterizedTest
    @CsvSource({"100, 10, 3", "50, 10, 3", "1000, 100, 3", "10, 20, 1.5"})
    void inTheLongRunTheRateIsAdmittedAndNoMore(double rate, double burst, double overload) {
        TokenBucket bucket = new TokenBucket(new Rate(rate, burst), START);
        SplittableRandom random = new SplittableRandom(3);
        double now = START;
        int admitted = 0;
        while (now < START + 60_000) {
            now += -Math.log(1 - random.nextDouble()) * 1000 / (rate * overload);
            admitted += bucket.tryTake(now) ? 1 : 0;
        }
        double due = rate * 60 + burst;
        assertTrue(admitted <= due + 1 && admitted > 0.98 * rate * 60, admitted + " of " + due);
    }

    @Test
    void aRefusalSaysWhenATokenIsThere() {
        Limiter limiter = new Limiter(limits(Map.of("pay", new Rate(4, 1)), Map.of(), null, null), START);
        admitted(limiter.admit(START, "x", "a", "pay", false));
        Refused refused = refused(limiter.admit(START + 50, "x", "a", "pay", false), Reason.CLASS_RATE);
        assertEquals(200, refused.retryAfterMs(), 1e-6);
        refused(limiter.admit(START + 249, "x", "a", "pay", false), Reason.CLASS_RATE);
        admitted(limiter.admit(START + 250, "x", "a", "pay", false));
        admitted(limiter.admit(START + 251, "x", "a", "read", false));
    }

    @Test
    void oneTenantsCrowdTakesNothingFromAnother() {
        Limiter limiter = new Limiter(limits(Map.of(), Map.of("big", new Rate(100, 10), "small", new Rate(100, 10)), null,
                null), START);
        SplittableRandom random = new SplittableRandom(5);
        Map<String, Integer> got = new HashMap<>();
        double now = START;
        while (now < START + 10_000) {
            now += -Math.log(1 - random.nextDouble()) * 1000 / 390;
            String tenant = random.nextInt(390) < 300 ? "big" : "small";
            if (limiter.admit(now, "x", tenant, "read", false) instanceof Admitted) {
                got.merge(tenant, 1, Integer::sum);
                limiter.ended(now, "read");
            }
        }
        assertEquals(1010, got.get("big"), 12);
        assertTrue(got.get("small") > 800, "it asks for less than its own rate: " + got);
    }

    @Test
    void madeUpNamesGainNothingAndTakeNoMemory() {
        Limiter limiter = new Limiter(limits(Map.of(), Map.of(), new Rate(1, 1), null), START);
        int got = 0;
        for (int i = 0; i < 100_000; i++) {
            got += limiter.admit(START, "x", "made-up-" + i, "read", false) instanceof Admitted ? 1 : 0;
        }
        assertEquals(UnknownTenantBuckets.MAX_OWN_BUCKETS + UnknownTenantBuckets.SHARED_BUCKETS, got);
        refused(limiter.admit(START, "x", null, "read", false), Reason.TENANT_RATE);
        assertTrue(limiter.admit(START + 1000, "x", "late", "read", false) instanceof Admitted,
                "who asked longest ago has a full bucket by now, and its place is free");
    }

    @Test
    void tenantsThatNobodyNamedDoNotTakeFromEachOther() {
        Limiter limiter = new Limiter(limits(Map.of(), Map.of(), new Rate(10, 1), null), START);
        for (int ms = 0; ms < 2000; ms++) {
            for (int t = 0; t < 200; t++) {
                // All but a few ask for what is theirs; the few ask all the time.
                Limiter.Verdict verdict = t < 5 || ms % 101 == 0
                        ? limiter.admit(START + ms, "x", "tenant-" + t, "read", false) : null;
                if (t >= 5 && verdict != null) {
                    admitted(verdict);
                }
            }
        }
    }

    @Test
    void requestsInFlightAreCountedUntilTheirAnswer() {
        Limiter limiter = new Limiter(new Limits(3, Map.of("pay", 1), Map.of(), Map.of(), null, null), START);
        admitted(limiter.admit(START, "x", "a", "pay", false));
        refused(limiter.admit(START, "x", "a", "pay", false), Reason.CLASS_IN_FLIGHT);
        admitted(limiter.admit(START, "x", "a", "read", false));
        admitted(limiter.admit(START, "x", "a", "read", false));
        refused(limiter.admit(START, "x", "a", "read", false), Reason.IN_FLIGHT);
        limiter.ended(START, "pay");
        admitted(limiter.admit(START, "x", "a", "pay", false));
        assertEquals(3, limiter.inFlight());
    }

    @Test
    void aRequestThatOneLimitRefusesCountsAgainstNoOther() {
        Limiter limiter = new Limiter(limits(Map.of("pay", new Rate(1, 1)), Map.of("a", new Rate(1, 2)), null, null), START);
        admitted(limiter.admit(START, "x", "a", "pay", false));
        refused(limiter.admit(START, "x", "a", "pay", false), Reason.CLASS_RATE);
        refused(limiter.admit(START, "x", "a", "pay", false), Reason.CLASS_RATE);
        admitted(limiter.admit(START, "x", "a", "read", false));
        refused(limiter.admit(START, "x", "a", "read", false), Reason.TENANT_RATE);
    }

    @Test
    void retriesAreHeldToTheirShareOfFirstTries() {
        RetryBudget budget = new RetryBudget(new RetryBudget.Config(0.2, 1, 10_000), START);
        int retries = 0;
        double now = START;
        for (int i = 0; i < 100 * 60; i++) {
            now += 10;
            budget.recordFirstTry(now);
            for (int r = 0; r < 3; r++) {
                retries += budget.tryRetry(now) ? 1 : 0;
            }
        }
        // 60 s at 100 a second: a fifth of them, one a second, and what the window holds at first.
        assertEquals(0.2 * 6000 + 60, retries, 30);
    }

    @Test
    void aQuietProxyLetsAFewRetriesThroughAndSaysWhenTheNextMayCome() {
        RetryBudget budget = new RetryBudget(new RetryBudget.Config(0.1, 0.5, 10_000), START);
        for (int i = 0; i < 5; i++) {
            assertTrue(budget.tryRetry(START), "retry " + i);
        }
        assertTrue(!budget.tryRetry(START));
        double wait = budget.waitMs(START);
        assertTrue(wait > 0 && wait < 10_000, "wait " + wait);
        assertTrue(!budget.tryRetry(START + wait - 1));
        assertTrue(budget.tryRetry(START + wait + 1e-3));
        assertEquals(10_000, new RetryBudget(new RetryBudget.Config(0.1, 0, 10_000), START).waitMs(START));
    }

    @Test
    void aChangeKeepsWhatDidNotChange() {
        Rate kept = new Rate(1, 5);
        Limiter limiter = new Limiter(limits(Map.of("pay", kept, "read", new Rate(1, 5)), Map.of(), null, null), START);
        for (int i = 0; i < 5; i++) {
            admitted(limiter.admit(START, "x", "a", "pay", false));
            admitted(limiter.admit(START, "x", "a", "read", false));
        }
        limiter.changeTo(limits(Map.of("pay", kept, "read", new Rate(100, 50), "new", new Rate(1, 2)), Map.of(), null, null),
                START);
        refused(limiter.admit(START, "x", "a", "pay", false), Reason.CLASS_RATE);
        refused(limiter.admit(START, "x", "a", "read", false), Reason.CLASS_RATE);
        admitted(limiter.admit(START + 11, "x", "a", "read", false));
        admitted(limiter.admit(START, "x", "a", "new", false));
        assertEquals(12, limiter.inFlight());
        limiter.changeTo(Limits.NONE, START);
        admitted(limiter.admit(START, "x", "a", "pay", false));
    }

    @Test
    void aLimitThatWouldRefuseEverythingIsNone() {
        assertThrows(IllegalArgumentException.class, () -> new Rate(0, 1));
        assertThrows(IllegalArgumentException.class, () -> new Rate(1, 0.5));
        assertThrows(IllegalArgumentException.class, () -> new Rate(Double.NaN, 1));
        assertThrows(IllegalArgumentException.class, () -> new Limits(0, Map.of(), Map.of(), Map.of(), null, null));
        assertThrows(IllegalArgumentException.class, () -> new RetryBudget.Config(-0.1, 1, 1000));
    }

    private static Limits queueing(int inFlight, int places) {
        return new Limits(inFlight, Map.of(), Map.of(), Map.of("a", new Rate(1000, 1000)), new Rate(1000, 1000), null)
                .withQueue(new Limits.Queue(places, 50));
    }

    @Test
    void pastTheRequestsInFlightTheNextWaitInLine() {
        Limiter limiter = new Limiter(queueing(1, 2), START);
        admitted(limiter.admit(START, "r1", "a", "pay", false));
        assertEquals(new Limiter.Queued(50, null), limiter.admit(START, "r2", "a", "pay", false));
        assertEquals(new Limiter.Queued(50, null), limiter.admit(START, "r3", "b", "pay", false));
        refused(limiter.admit(START, "r4", "b", "pay", false), Reason.QUEUE_FULL);
        assertNull(limiter.admitNext());
        limiter.ended(START + 5, "pay");
        assertEquals("r2", limiter.admitNext());
        assertNull(limiter.admitNext(), "one answer makes room for one");
        assertEquals(1, limiter.inFlight());
        limiter.ended(START + 6, "pay");
        // r3 waits still, so who comes now does not overtake it.
        assertEquals(new Limiter.Queued(50, null), limiter.admit(START + 6, "r5", "a", "pay", false));
        assertEquals("r3", limiter.admitNext());
    }

    @Test
    void whoLeavesTheLineGivesItsTokensBack() {
        Limits limits = new Limits(1, Map.of("pay", 2), Map.of("pay", new Rate(1, 2)), Map.of(), null, null)
                .withQueue(new Limits.Queue(4, 50));
        Limiter limiter = new Limiter(limits, START);
        admitted(limiter.admit(START, "r1", "a", "pay", false));
        assertTrue(limiter.admit(START, "r2", "a", "pay", false) instanceof Limiter.Queued);
        refused(limiter.admit(START, "r3", "a", "pay", false), Reason.CLASS_IN_FLIGHT);
        assertTrue(limiter.withdraw(START, "r2") > 0);
        assertTrue(limiter.withdraw(START, "r2") > 0, "told again, and nothing given back twice");
        assertTrue(limiter.admit(START, "r4", "a", "pay", false) instanceof Limiter.Queued, "its token was there again");
        assertEquals(1, limiter.queueLength());
    }

    @Test
    void theTimeToComeBackFollowsHowFastRoomHasCome() {
        Limiter limiter = new Limiter(new Limits(1, Map.of(), Map.of(), Map.of(), null, null), START);
        double now = START;
        for (int i = 0; i < 100; i++) {
            admitted(limiter.admit(now, "r" + i, "a", "pay", false));
            now += 8;
            limiter.ended(now, "pay");
        }
        admitted(limiter.admit(now, "r", "a", "pay", false));
        assertEquals(8, refused(limiter.admit(now, "s", "a", "pay", false), Reason.IN_FLIGHT).retryAfterMs(), 0.1);
    }
}
