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

/** Token buckets against a reference, and which limits refuse requests, in which order and for how long. */
class LimiterTest {

    private static final double START_MS = 1_000_000;

    private static Limits limits(Map<String, Rate> classes, Map<String, Rate> tenants, Rate unknown,
                                 RetryBudget.Config retries) {
        return new Limits(Integer.MAX_VALUE, Map.of(), classes, tenants, unknown, retries);
    }

    private static Refused refused(Verdict verdict, Reason reason) {
        Refused refused = assertInstanceOf(Refused.class, verdict);
        assertEquals(reason, refused.reason());
        assertTrue(refused.retryAfterMs() > 0, "a refusal states when to retry");
        return refused;
    }

    private static void admitted(Verdict verdict) {
        assertInstanceOf(Admitted.class, verdict);
    }

    /** A token bucket in integer units and microseconds, without rounding. */
    private static final class Reference {
        private final long unitsPerMicro;
        private final long capacity;
        private long units;
        private long lastMicros;

        /** A request takes 10^12 units; a rate of r requests a second fills r * 10^6 units a microsecond. */
        Reference(long perSecond, long burst, long atMicros) {
            unitsPerMicro = perSecond * 1_000_000;
            capacity = burst * 1_000_000_000_000L;
            units = capacity;
            lastMicros = atMicros;
        }

        boolean tryTake(long nowMicros) {
            units = Math.min(capacity, units + (nowMicros - lastMicros) * unitsPerMicro);
            lastMicros = nowMicros;
            if (units < 1_000_000_000_000L) {
                return false;
            }
            units -= 1_000_000_000_000L;
            return true;
        }
    }

    @Test
    void bucketAdmitsLikeAnExactReference() {
        long seed = System.nanoTime();
        System.out.println("LimiterTest seed " + seed);
        SplittableRandom random = new SplittableRandom(seed);
        for (int round = 0; round < 200; round++) {
            long rate = 1 + random.nextInt(1000);
            long burst = 1 + random.nextInt(50);
            long micros = 0;
            TokenBucket bucket = new TokenBucket(new Rate(rate, burst), START_MS);
            Reference reference = new Reference(rate, burst, 0);
            int differences = 0;
            int admitted = 0;
            for (int i = 0; i < 2000; i++) {
                micros += random.nextInt((int) (3_000_000 / rate));
                boolean took = bucket.tryTake(START_MS + micros / 1000.0);
                boolean wanted = reference.tryTake(micros);
                admitted += took ? 1 : 0;
                differences += took == wanted ? 0 : 1;
            }
            // Rounding may shift a token by one request; the error must not accumulate.
            assertTrue(differences <= 2, differences + " of " + admitted + ", seed " + seed);
        }
    }

    @ParameterizedTest
    @CsvSource({"100, 10, 3", "50, 10, 3", "1000, 100, 3", "10, 20, 1.5"})
    void bucketAdmitsTheRateInTheLongRunAndNoMore(double rate, double burst, double overload) {
        TokenBucket bucket = new TokenBucket(new Rate(rate, burst), START_MS);
        SplittableRandom random = new SplittableRandom(3);
        double now = START_MS;
        int admitted = 0;
        while (now < START_MS + 60_000) {
            now += -Math.log(1 - random.nextDouble()) * 1000 / (rate * overload);
            admitted += bucket.tryTake(now) ? 1 : 0;
        }
        double allowed = rate * 60 + burst;
        assertTrue(admitted <= allowed + 1 && admitted > 0.98 * rate * 60, admitted + " of " + allowed);
    }

    @Test
    void refusalStatesWhenATokenIsAvailable() {
        Limiter limiter = new Limiter(limits(Map.of("pay", new Rate(4, 1)), Map.of(), null, null), START_MS);
        admitted(limiter.admit(START_MS, "x", "a", "pay", false));
        Refused refused = refused(limiter.admit(START_MS + 50, "x", "a", "pay", false), Reason.CLASS_RATE);
        assertEquals(200, refused.retryAfterMs(), 1e-6);
        refused(limiter.admit(START_MS + 249, "x", "a", "pay", false), Reason.CLASS_RATE);
        admitted(limiter.admit(START_MS + 250, "x", "a", "pay", false));
        admitted(limiter.admit(START_MS + 251, "x", "a", "read", false));
    }

    @Test
    void overloadByOneTenantDoesNotAffectAnother() {
        Limiter limiter = new Limiter(limits(Map.of(), Map.of("big", new Rate(100, 10), "small", new Rate(100, 10)),
                null, null), START_MS);
        SplittableRandom random = new SplittableRandom(5);
        Map<String, Integer> admitted = new HashMap<>();
        double now = START_MS;
        while (now < START_MS + 10_000) {
            now += -Math.log(1 - random.nextDouble()) * 1000 / 390;
            String tenant = random.nextInt(390) < 300 ? "big" : "small";
            if (limiter.admit(now, "x", tenant, "read", false) instanceof Admitted) {
                admitted.merge(tenant, 1, Integer::sum);
                limiter.ended(now, "read");
            }
        }
        assertEquals(1010, admitted.get("big"), 12);
        assertTrue(admitted.get("small") > 800, "this tenant stays below its own rate: " + admitted);
    }

    @Test
    void inventedNamesGainNothingAndTakeNoMemory() {
        Limiter limiter = new Limiter(limits(Map.of(), Map.of(), new Rate(1, 1), null), START_MS);
        int admitted = 0;
        for (int i = 0; i < 100_000; i++) {
            admitted += limiter.admit(START_MS, "x", "made-up-" + i, "read", false) instanceof Admitted ? 1 : 0;
        }
        assertEquals(UnknownTenantBuckets.MAX_OWN_BUCKETS + UnknownTenantBuckets.SHARED_BUCKETS, admitted);
        refused(limiter.admit(START_MS, "x", null, "read", false), Reason.TENANT_RATE);
        assertTrue(limiter.admit(START_MS + 1000, "x", "late", "read", false) instanceof Admitted,
                "the bucket of the longest inactive tenant is full by now, so its place is free");
    }

    @Test
    void unnamedTenantsDoNotTakeFromEachOther() {
        Limiter limiter = new Limiter(limits(Map.of(), Map.of(), new Rate(10, 1), null), START_MS);
        for (int ms = 0; ms < 2000; ms++) {
            for (int t = 0; t < 200; t++) {
                // A few tenants send all the time, the others stay within their rate.
                Limiter.Verdict verdict = t < 5 || ms % 101 == 0
                        ? limiter.admit(START_MS + ms, "x", "tenant-" + t, "read", false) : null;
                if (t >= 5 && verdict != null) {
                    admitted(verdict);
                }
            }
        }
    }

    @Test
    void requestsInFlightAreCountedUntilTheirResponse() {
        Limiter limiter = new Limiter(new Limits(3, Map.of("pay", 1), Map.of(), Map.of(), null, null), START_MS);
        admitted(limiter.admit(START_MS, "x", "a", "pay", false));
        refused(limiter.admit(START_MS, "x", "a", "pay", false), Reason.CLASS_IN_FLIGHT);
        admitted(limiter.admit(START_MS, "x", "a", "read", false));
        admitted(limiter.admit(START_MS, "x", "a", "read", false));
        refused(limiter.admit(START_MS, "x", "a", "read", false), Reason.IN_FLIGHT);
        limiter.ended(START_MS, "pay");
        admitted(limiter.admit(START_MS, "x", "a", "pay", false));
        assertEquals(3, limiter.inFlight());
    }

    @Test
    void requestRefusedByOneLimitCountsAgainstNoOther() {
        Limiter limiter = new Limiter(limits(Map.of("pay", new Rate(1, 1)), Map.of("a", new Rate(1, 2)), null, null),
                START_MS);
        admitted(limiter.admit(START_MS, "x", "a", "pay", false));
        refused(limiter.admit(START_MS, "x", "a", "pay", false), Reason.CLASS_RATE);
        refused(limiter.admit(START_MS, "x", "a", "pay", false), Reason.CLASS_RATE);
        admitted(limiter.admit(START_MS, "x", "a", "read", false));
        refused(limiter.admit(START_MS, "x", "a", "read", false), Reason.TENANT_RATE);
    }

    @Test
    void retriesAreLimitedToARatioOfFirstTries() {
        RetryBudget budget = new RetryBudget(new RetryBudget.Config(0.2, 1, 10_000), START_MS);
        int retries = 0;
        double now = START_MS;
        for (int i = 0; i < 100 * 60; i++) {
            now += 10;
            budget.recordFirstTry(now);
            for (int r = 0; r < 3; r++) {
                retries += budget.tryRetry(now) ? 1 : 0;
            }
        }
        // 60 s at 100 requests a second: a fifth of them, one a second, and the initial content of the window.
        assertEquals(0.2 * 6000 + 60, retries, 30);
    }

    @Test
    void proxyWithLittleTrafficAllowsAFewRetriesAndStatesWhenTheNextMayCome() {
        RetryBudget budget = new RetryBudget(new RetryBudget.Config(0.1, 0.5, 10_000), START_MS);
        for (int i = 0; i < 5; i++) {
            assertTrue(budget.tryRetry(START_MS), "retry " + i);
        }
        assertTrue(!budget.tryRetry(START_MS));
        double wait = budget.waitMs(START_MS);
        assertTrue(wait > 0 && wait < 10_000, "wait " + wait);
        assertTrue(!budget.tryRetry(START_MS + wait - 1));
        assertTrue(budget.tryRetry(START_MS + wait + 1e-3));
        assertEquals(10_000, new RetryBudget(new RetryBudget.Config(0.1, 0, 10_000), START_MS).waitMs(START_MS));
    }

    @Test
    void changeOfLimitsKeepsUnchangedBuckets() {
        Rate kept = new Rate(1, 5);
        Limiter limiter = new Limiter(limits(Map.of("pay", kept, "read", new Rate(1, 5)), Map.of(), null, null),
                START_MS);
        for (int i = 0; i < 5; i++) {
            admitted(limiter.admit(START_MS, "x", "a", "pay", false));
            admitted(limiter.admit(START_MS, "x", "a", "read", false));
        }
        limiter.changeTo(limits(Map.of("pay", kept, "read", new Rate(100, 50), "new", new Rate(1, 2)), Map.of(), null,
                null), START_MS);
        refused(limiter.admit(START_MS, "x", "a", "pay", false), Reason.CLASS_RATE);
        refused(limiter.admit(START_MS, "x", "a", "read", false), Reason.CLASS_RATE);
        admitted(limiter.admit(START_MS + 11, "x", "a", "read", false));
        admitted(limiter.admit(START_MS, "x", "a", "new", false));
        assertEquals(12, limiter.inFlight());
        limiter.changeTo(Limits.NONE, START_MS);
        admitted(limiter.admit(START_MS, "x", "a", "pay", false));
    }

    @Test
    void limitsThatWouldRefuseEverythingAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> new Rate(0, 1));
        assertThrows(IllegalArgumentException.class, () -> new Rate(1, 0.5));
        assertThrows(IllegalArgumentException.class, () -> new Rate(Double.NaN, 1));
        assertThrows(IllegalArgumentException.class, () -> new Limits(0, Map.of(), Map.of(), Map.of(), null, null));
        assertThrows(IllegalArgumentException.class, () -> new RetryBudget.Config(-0.1, 1, 1000));
    }

    private static Limits limitsWithQueue(int inFlight, int capacity) {
        return new Limits(inFlight, Map.of(), Map.of(), Map.of("a", new Rate(1000, 1000)), new Rate(1000, 1000), null)
                .withQueue(new Limits.Queue(capacity, 50));
    }

    @Test
    void requestsBeyondTheInFlightLimitAreQueued() {
        Limiter limiter = new Limiter(limitsWithQueue(1, 2), START_MS);
        admitted(limiter.admit(START_MS, "r1", "a", "pay", false));
        assertEquals(new Limiter.Queued(50, null), limiter.admit(START_MS, "r2", "a", "pay", false));
        assertEquals(new Limiter.Queued(50, null), limiter.admit(START_MS, "r3", "b", "pay", false));
        refused(limiter.admit(START_MS, "r4", "b", "pay", false), Reason.QUEUE_FULL);
        assertNull(limiter.admitNext());
        limiter.ended(START_MS + 5, "pay");
        assertEquals("r2", limiter.admitNext());
        assertNull(limiter.admitNext(), "one response makes room for one request");
        assertEquals(1, limiter.inFlight());
        limiter.ended(START_MS + 6, "pay");
        // r3 is still queued, so a new request does not overtake it.
        assertEquals(new Limiter.Queued(50, null), limiter.admit(START_MS + 6, "r5", "a", "pay", false));
        assertEquals("r3", limiter.admitNext());
    }

    @Test
    void withdrawnRequestGivesItsTokensBack() {
        Limits limits = new Limits(1, Map.of("pay", 2), Map.of("pay", new Rate(1, 2)), Map.of(), null, null)
                .withQueue(new Limits.Queue(4, 50));
        Limiter limiter = new Limiter(limits, START_MS);
        admitted(limiter.admit(START_MS, "r1", "a", "pay", false));
        assertTrue(limiter.admit(START_MS, "r2", "a", "pay", false) instanceof Limiter.Queued);
        refused(limiter.admit(START_MS, "r3", "a", "pay", false), Reason.CLASS_IN_FLIGHT);
        assertTrue(limiter.withdraw(START_MS, "r2") > 0);
        assertTrue(limiter.withdraw(START_MS, "r2") > 0, "nothing is given back twice");
        assertTrue(limiter.admit(START_MS, "r4", "a", "pay", false) instanceof Limiter.Queued,
                "its token was given back");
        assertEquals(1, limiter.queueLength());
    }

    @Test
    void retryTimeFollowsTheReleaseRate() {
        Limiter limiter = new Limiter(new Limits(1, Map.of(), Map.of(), Map.of(), null, null), START_MS);
        double now = START_MS;
        for (int i = 0; i < 100; i++) {
            admitted(limiter.admit(now, "r" + i, "a", "pay", false));
            now += 8;
            limiter.ended(now, "pay");
        }
        admitted(limiter.admit(now, "r", "a", "pay", false));
        assertEquals(8, refused(limiter.admit(now, "s", "a", "pay", false), Reason.IN_FLIGHT).retryAfterMs(), 0.1);
    }
}
