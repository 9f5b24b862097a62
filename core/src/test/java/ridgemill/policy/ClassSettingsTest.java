package ridgemill.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import ridgemill.policy.Router.Effect;
import ridgemill.policy.Router.DeduplicationScope;
import ridgemill.policy.Router.Outcome;
import ridgemill.policy.Router.RetryPolicy;
import ridgemill.policy.Router.ServiceClass;

/** What a class sets for its own attempts, and that a request keeps the class that it came under. */
class ClassSettingsTest {

    private static ServiceClass dear(Effect effect, RetryPolicy retry) {
        return new ServiceClass("dear", 300, 0, RouterHarness.BUDGET_MS, 5, 0.2, effect, DeduplicationScope.ALL, 500, false, retry);
    }

    private static RouterHarness under(ServiceClass... classes) {
        RouterHarness b = RouterHarness.withCacheNodes(4);
        b.router.onClassesChanged(b.now, List.of(classes));
        return b;
    }

    @Test
    void oneAttemptIsNotRepeated() {
        RouterHarness b = under(dear(Effect.SAFE, new RetryPolicy(1, 0, 0, 1, 0)));
        String id = b.request("dear", 1);
        b.endAttempt(id, Outcome.RESET);
        assertEquals(1, b.sendCount(id));
        assertEquals(1, b.actions.finalAnswers(id));
        RouterHarness usual = RouterHarness.withCacheNodes(4);
        String repeated = usual.request("dear", 1);
        usual.endAttempt(repeated, Outcome.RESET);
        assertEquals(2, usual.sendCount(repeated));
    }

    @Test
    void aMissIsNoFailureAndItsFetchGoesOut() {
        RouterHarness b = under(dear(Effect.SAFE, new RetryPolicy(1, 0, 0, 1, 0)));
        String id = b.request("dear", 1);
        while (!b.nodeOf(id).equals("db")) {
            b.endAttempt(id, Outcome.MISS);
        }
        b.endAttempt(id, Outcome.OK);
        assertEquals("db", b.nodeOf(id));
    }

    @Test
    void anAttemptHasNoMoreThanItsTime() {
        RouterHarness b = under(dear(Effect.SAFE, new RetryPolicy(2, 120, 0, 1, 0)));
        String id = b.request("dear", 1);
        assertEquals(120, b.actions.sentAttempts.get(b.actions.sentAttempts.size() - 1).timeoutMs());
        b.endAttempt(id, Outcome.RESET);
        assertEquals(120, b.actions.sentAttempts.get(b.actions.sentAttempts.size() - 1).timeoutMs());
    }

    @Test
    void theNextAttemptWaitsAndNothingGoesOutMeanwhile() {
        RouterHarness b = under(dear(Effect.SAFE, new RetryPolicy(3, 0, 80, 2, 1000)));
        String id = b.request("dear", 1);
        b.endAttempt(id, Outcome.RESET);
        b.advance(79);
        assertEquals(1, b.sendCount(id));
        b.advance(1);
        assertEquals(2, b.sendCount(id));
        assertEquals(0, b.actions.finalAnswers(id));
    }

    @Test
    void aWaitThatOutlastsTheClientIsAnsweredAtOnce() {
        RouterHarness b = under(dear(Effect.SAFE, new RetryPolicy(3, 0, 2000, 1, 2000)));
        String id = b.request("dear", 1);
        b.endAttempt(id, Outcome.RESET);
        assertEquals(1, b.actions.finalAnswers(id), "held back for nothing");
        b.advance(5000);
        assertEquals(1, b.sendCount(id));
    }

    @Test
    void aClientThatLeavesDuringTheWaitIsForgotten() {
        RouterHarness b = under(dear(Effect.SAFE, new RetryPolicy(3, 0, 80, 1, 80)));
        String id = b.request("dear", 1);
        b.endAttempt(id, Outcome.RESET);
        b.router.onClientDisconnected(b.now, id, b.actions);
        b.advance(500);
        assertEquals(1, b.sendCount(id));
        assertEquals(0, b.actions.finalAnswers(id));
    }

    @Test
    void aRequestKeepsTheClassThatItCameUnder() {
        RouterHarness b = under(dear(Effect.UNSAFE, RetryPolicy.PLATFORM_DEFAULT));
        String unsafe = b.request("dear", 1);
        b.router.onClassesChanged(b.now, List.of(dear(Effect.SAFE, RetryPolicy.PLATFORM_DEFAULT)));
        String safe = b.request("dear", 2);
        b.endAttempt(unsafe, Outcome.RESET);
        b.endAttempt(safe, Outcome.RESET);
        assertEquals(1, b.sendCount(unsafe), "it came as unsafe and may have run");
        assertEquals(1, b.actions.finalAnswers(unsafe));
        assertEquals(2, b.sendCount(safe));
    }

    @Test
    void aClassThatIsTakenOutStillHoldsForWhatIsInFlight() {
        RouterHarness b = under(dear(Effect.SAFE, RetryPolicy.PLATFORM_DEFAULT));
        String id = b.request("dear", 1);
        b.router.onClassesChanged(b.now, List.of());
        b.endAttempt(id, Outcome.RESET);
        assertEquals(2, b.sendCount(id));
        b.advance(RouterHarness.BUDGET_MS);
        assertEquals(1, b.actions.finalAnswers(id));
        assertTrue(b.actions.finalAnswers(b.request("dear", 1)) <= 1);
    }
}
