package ridgemill.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import ridgemill.policy.Router.Outcome;

/** Admission control: the level, the baseline rate and the token bucket. */
class AdmissionTest {

    private static AdmissionLevel afterInterval(int good, int bad, int startLevel) {
        var admission = new AdmissionLevel();
        admission.level = startLevel;
        for (int i = 0; i < good; i++) {
            admission.recordFetch(true);
        }
        for (int i = 0; i < bad; i++) {
            admission.recordFetch(false);
        }
        admission.endInterval(1000, 0);
        return admission;
    }

    @Test
    void levelRisesOnlyAboveTenPercentBad() {
        assertEquals(1, afterInterval(90, 10, 1).level);
        assertEquals(2, afterInterval(89, 11, 1).level);
    }

    @Test
    void levelFallsOnlyBelowFivePercentBad() {
        assertEquals(1, afterInterval(95, 5, 1).level);
        assertEquals(0, afterInterval(96, 4, 1).level);
    }

    @Test
    void levelFallsOnSmallSampleAndStaysInBounds() {
        assertEquals(1, afterInterval(3, 0, 2).level);
        assertEquals(0, afterInterval(0, 0, 0).level);
        assertEquals(AdmissionLevel.LEVEL_FACTORS.length,
                afterInterval(0, 50, AdmissionLevel.LEVEL_FACTORS.length).level);
    }

    private static AdmissionLevel withMoreProxiesThanNodes() {
        var admission = new AdmissionLevel();
        admission.minBaseline = AdmissionLevel.MIN_BASELINE / 2;
        admission.level = 1;
        admission.recordFetch(false);
        admission.recordFetch(false);
        admission.endInterval(1000, 0);
        return admission;
    }

    @Test
    void smallSampleWithBadFetchAccumulatesOverIntervals() {
        var admission = withMoreProxiesThanNodes();
        assertEquals(1, admission.level);
        admission.recordFetch(false);
        admission.recordFetch(false);
        admission.endInterval(1000, 0);
        assertEquals(2, admission.level);
        var alone = withMoreProxiesThanNodes();
        for (int i = 1; i < AdmissionLevel.MAX_SAMPLE_INTERVALS; i++) {
            alone.endInterval(1000, 0);
        }
        assertEquals(0, alone.level, "a small sample expires");
    }

    @Test
    void levelFactorsDecreaseFromAboveToBelowTheBaseline() {
        assertTrue(AdmissionLevel.LEVEL_FACTORS[0] > 1);
        for (int i = 1; i < AdmissionLevel.LEVEL_FACTORS.length; i++) {
            assertTrue(AdmissionLevel.LEVEL_FACTORS[i] < AdmissionLevel.LEVEL_FACTORS[i - 1]);
        }
        assertTrue(AdmissionLevel.LEVEL_FACTORS[AdmissionLevel.LEVEL_FACTORS.length - 1] < 1);
    }

    @Test
    void baselineFollowsPeakDecaysAndIsKeptWhileThrottled() {
        var admission = afterInterval(40, 0, 0);
        assertEquals(40, admission.baseline);
        admission.endInterval(1000, 0);
        assertEquals(40 * AdmissionLevel.BASELINE_DECAY, admission.baseline, 1e-9);
        admission.level = 3;
        admission.endInterval(1000, 0);
        assertEquals(40 * AdmissionLevel.BASELINE_DECAY, admission.baseline, 1e-9);
        assertEquals(1, afterInterval(0, 0, 0).baseline);
    }

    @Test
    void levelDoesNotRiseBeforeBaselineIsLearned() {
        var admission = new AdmissionLevel();
        for (int i = 0; i < AdmissionLevel.MIN_LEARNED; i++) {
            assertEquals(0, admission.level);
            for (int j = 0; j < AdmissionLevel.MIN_SAMPLE; j++) {
                admission.recordFetch(false);
            }
            admission.endInterval(1000, 0);
        }
        assertTrue(admission.level > 0);
    }

    @Test
    void bucketRefillsEvenlyUpToItsCapacity() {
        var bucket = new PriorityTokenBucket(PriorityTokenBucket.DEFAULT_CAPACITY);
        bucket.setRate(0, 10);
        for (int i = 0; i < PriorityTokenBucket.DEFAULT_CAPACITY; i++) {
            assertTrue(bucket.tryAcquire(0, false));
        }
        assertFalse(bucket.tryAcquire(0, false));
        assertFalse(bucket.tryAcquire(99, false));
        assertTrue(bucket.tryAcquire(100, false));
        bucket.tryAcquire(1_000_000, false);
        assertEquals(PriorityTokenBucket.DEFAULT_CAPACITY - 1, bucket.tokens, 1e-9);
    }

    @Test
    void lastTokenIsKeptForHighPriority() {
        var bucket = new PriorityTokenBucket(PriorityTokenBucket.DEFAULT_CAPACITY);
        bucket.setRate(0, 1);
        bucket.tokens = 1;
        assertFalse(bucket.tryAcquire(0, true));
        assertTrue(bucket.tryAcquire(0, false));
    }

    @Test
    void emptyBucketRefusesWithRetryAfterAndLowPriorityFirst() {
        RouterHarness harness = RouterHarness.withCacheNodes(4);
        for (int i = 1; i < AdmissionLevel.MIN_LEARNED; i++) {
            harness.runInterval(5, 0);
        }
        harness.runInterval(3, 4);
        int before = harness.actions.refusedRequests.size();
        int basicFetches = 0;
        int premiumFetches = 0;
        for (int i = 0; i < 40; i++) {
            boolean basic = i % 2 == 0;
            String id = harness.request(basic ? "basic" : "premium", 5000 + i);
            while (harness.actions.finalAnswers(id) == 0 && !harness.nodeOf(id).equals("db")) {
                harness.endAttempt(id, Outcome.MISS);
            }
            if (harness.actions.finalAnswers(id) == 0) {
                harness.endAttempt(id, Outcome.OK);
                basicFetches += basic ? 1 : 0;
                premiumFetches += basic ? 0 : 1;
            }
            harness.advance(10);
        }
        assertTrue(harness.actions.refusedRequests.size() > before);
        assertTrue(premiumFetches > basicFetches, premiumFetches + " premium, " + basicFetches + " basic");
        assertTrue(harness.actions.log.stream().anyMatch(l -> l.matches("refuse q\\d+ [1-9].*")));
    }

    @Test
    void retryOfRefusedReadCausesNoMissWhileThrottled() {
        RouterHarness harness = RouterHarness.withCacheNodes(4);
        for (int i = 1; i < AdmissionLevel.MIN_LEARNED; i++) {
            harness.runInterval(5, 0);
        }
        harness.runInterval(3, 4);
        String refused = null;
        long key = 8000;
        while (refused == null) {
            String id = harness.request("premium", ++key);
            while (harness.actions.finalAnswers(id) == 0 && !harness.nodeOf(id).equals("db")) {
                harness.endAttempt(id, Outcome.MISS);
            }
            refused = harness.actions.finalAnswers(id) > 0 ? id : null;
        }
        String retry = harness.request("premium", key);
        assertEquals(1, harness.actions.finalAnswers(retry));
        assertEquals(0, harness.sendCount(retry));
        harness.advance(500);
        assertEquals(1, harness.sendCount(harness.request("premium", key)));
    }

    @Test
    void levelZeroIsReachedOnlyWithoutRefusals() {
        var admission = new AdmissionLevel();
        for (int i = 0; i < AdmissionLevel.MIN_LEARNED; i++) {
            for (int j = 0; j < 40; j++) {
                admission.recordFetch(true);
            }
            admission.endInterval(1000, 0);
        }
        assertEquals(40, admission.baseline, 1e-9);
        admission.level = 1;
        admission.endInterval(1000, 3);
        assertEquals(1, admission.level);
        assertEquals(40 * AdmissionLevel.BASELINE_GROWTH, admission.baseline, 1e-9);
        admission.endInterval(1000, 0);
        assertEquals(0, admission.level);
    }

    @Test
    void tenantOverQuotaIsRefusedBeforeTenantWithinQuota() {
        var base = RouterHarness.settings(true, false);
        var tenants = List.of(new Router.Tenant("greedy", 10), new Router.Tenant("modest", 1000));
        RouterHarness harness = new RouterHarness(new Router.Settings(0, 2, "z", 5, base.classes(), tenants, 0.05,
                false, base.limits(), base.rules(), false, Router.WeightMode.NONE, "origin"));
        harness.listNodes(4);
        for (int i = 1; i < AdmissionLevel.MIN_LEARNED; i++) {
            harness.runInterval(5, 0);
        }
        harness.runInterval(3, 4);
        int[] fetched = new int[2];
        for (int i = 0; i < 200; i++) {
            String tenant = i % 2 == 0 ? "greedy" : "modest";
            String id = tenant + i;
            harness.router.onRequest(harness.now,
                    new Router.Request(id, "premium", tenant, 70_000 + i, 0, 800, false, false), harness.actions);
            while (harness.actions.finalAnswers(id) == 0 && !harness.nodeOf(id).equals("db")) {
                harness.endAttempt(id, Outcome.MISS);
            }
            if (harness.actions.finalAnswers(id) == 0) {
                harness.endAttempt(id, Outcome.OK);
                fetched[i % 2]++;
            }
            harness.advance(5);
        }
        assertTrue(fetched[1] > 2 * fetched[0], fetched[0] + " over the quota, " + fetched[1] + " within");
    }
}
