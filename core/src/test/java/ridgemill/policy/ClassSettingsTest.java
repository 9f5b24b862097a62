package ridgemill.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import ridgemill.policy.Router.DeduplicationScope;
import ridgemill.policy.Router.Effect;
import ridgemill.policy.Router.Outcome;
import ridgemill.policy.Router.RetryPolicy;
import ridgemill.policy.Router.ServiceClass;

/** The retry policy of a service class, and that a request keeps the class that it arrived with. */
class ClassSettingsTest {

    private static ServiceClass premium(Effect effect, RetryPolicy retry) {
        return new ServiceClass("premium", 300, 0, RouterHarness.BUDGET_MS, 5, 0.2, effect, DeduplicationScope.ALL, 500,
                false, retry);
    }

    private static RouterHarness withClasses(ServiceClass... classes) {
        RouterHarness harness = RouterHarness.withCacheNodes(4);
        harness.router.onClassesChanged(harness.now, List.of(classes));
        return harness;
    }

    @Test
    void singleAttemptIsNotRetried() {
        RouterHarness harness = withClasses(premium(Effect.SAFE, new RetryPolicy(1, 0, 0, 1, 0)));
        String id = harness.request("premium", 1);
        harness.endAttempt(id, Outcome.RESET);
        assertEquals(1, harness.sendCount(id));
        assertEquals(1, harness.actions.finalAnswers(id));
        RouterHarness unlimited = RouterHarness.withCacheNodes(4);
        String retried = unlimited.request("premium", 1);
        unlimited.endAttempt(retried, Outcome.RESET);
        assertEquals(2, unlimited.sendCount(retried));
    }

    @Test
    void missIsNotAFailureAndIsFetched() {
        RouterHarness harness = withClasses(premium(Effect.SAFE, new RetryPolicy(1, 0, 0, 1, 0)));
        String id = harness.request("premium", 1);
        while (!harness.nodeOf(id).equals("db")) {
            harness.endAttempt(id, Outcome.MISS);
        }
        harness.endAttempt(id, Outcome.OK);
        assertEquals("db", harness.nodeOf(id));
    }

    @Test
    void attemptTimeoutIsLimitedByClass() {
        RouterHarness harness = withClasses(premium(Effect.SAFE, new RetryPolicy(2, 120, 0, 1, 0)));
        String id = harness.request("premium", 1);
        assertEquals(120, harness.actions.sentAttempts.get(harness.actions.sentAttempts.size() - 1).timeoutMs());
        harness.endAttempt(id, Outcome.RESET);
        assertEquals(120, harness.actions.sentAttempts.get(harness.actions.sentAttempts.size() - 1).timeoutMs());
    }

    @Test
    void nextAttemptWaitsForBackoff() {
        RouterHarness harness = withClasses(premium(Effect.SAFE, new RetryPolicy(3, 0, 80, 2, 1000)));
        String id = harness.request("premium", 1);
        harness.endAttempt(id, Outcome.RESET);
        harness.advance(79);
        assertEquals(1, harness.sendCount(id));
        harness.advance(1);
        assertEquals(2, harness.sendCount(id));
        assertEquals(0, harness.actions.finalAnswers(id));
    }

    @Test
    void backoffBeyondDeadlineIsAnsweredAtOnce() {
        RouterHarness harness = withClasses(premium(Effect.SAFE, new RetryPolicy(3, 0, 2000, 1, 2000)));
        String id = harness.request("premium", 1);
        harness.endAttempt(id, Outcome.RESET);
        assertEquals(1, harness.actions.finalAnswers(id), "must not wait in vain");
        harness.advance(5000);
        assertEquals(1, harness.sendCount(id));
    }

    @Test
    void requestIsDroppedWhenClientDisconnectsDuringBackoff() {
        RouterHarness harness = withClasses(premium(Effect.SAFE, new RetryPolicy(3, 0, 80, 1, 80)));
        String id = harness.request("premium", 1);
        harness.endAttempt(id, Outcome.RESET);
        harness.router.onClientDisconnected(harness.now, id, harness.actions);
        harness.advance(500);
        assertEquals(1, harness.sendCount(id));
        assertEquals(0, harness.actions.finalAnswers(id));
    }

    @Test
    void requestKeepsTheClassItArrivedWith() {
        RouterHarness harness = withClasses(premium(Effect.UNSAFE, RetryPolicy.PLATFORM_DEFAULT));
        String unsafe = harness.request("premium", 1);
        harness.router.onClassesChanged(harness.now, List.of(premium(Effect.SAFE, RetryPolicy.PLATFORM_DEFAULT)));
        String safe = harness.request("premium", 2);
        harness.endAttempt(unsafe, Outcome.RESET);
        harness.endAttempt(safe, Outcome.RESET);
        assertEquals(1, harness.sendCount(unsafe), "it arrived as unsafe and may have run");
        assertEquals(1, harness.actions.finalAnswers(unsafe));
        assertEquals(2, harness.sendCount(safe));
    }

    @Test
    void removedClassStillAppliesToRequestsInFlight() {
        RouterHarness harness = withClasses(premium(Effect.SAFE, RetryPolicy.PLATFORM_DEFAULT));
        String id = harness.request("premium", 1);
        harness.router.onClassesChanged(harness.now, List.of());
        harness.endAttempt(id, Outcome.RESET);
        assertEquals(2, harness.sendCount(id));
        harness.advance(RouterHarness.BUDGET_MS);
        assertEquals(1, harness.actions.finalAnswers(id));
        assertTrue(harness.actions.finalAnswers(harness.request("premium", 1)) <= 1);
    }
}
