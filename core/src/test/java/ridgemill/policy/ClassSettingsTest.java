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
        return new ServiceClass("dear", 300, 0, Bench.BUDGET, 5, 0.2, effect, DeduplicationScope.ALL, 500, false, retry);
    }

    private static Bench under(ServiceClass... classes) {
        Bench b = Bench.withCaches(4);
        b.router.onClassesChanged(b.now, List.of(classes));
        return b;
    }

    @Test
    void oneAttemptIsNotRepeated() {
        Bench b = under(dear(Effect.SAFE, new RetryPolicy(1, 0, 0, 1, 0)));
        String id = b.ask("dear", 1);
        b.end(id, Outcome.RESET);
        assertEquals(1, b.sendsOf(id));
        assertEquals(1, b.out.answers(id));
        Bench usual = Bench.withCaches(4);
        String repeated = usual.ask("dear", 1);
        usual.end(repeated, Outcome.RESET);
        assertEquals(2, usual.sendsOf(repeated));
    }

    @Test
    void aMissIsNoFailureAndItsFetchGoesOut() {
        Bench b = under(dear(Effect.SAFE, new RetryPolicy(1, 0, 0, 1, 0)));
        String id = b.ask("dear", 1);
        while (!b.nodeOf(id).equals("db")) {
            b.end(id, Outcome.MISS);
        }
        b.end(id, Outcome.OK);
        assertEquals("db", b.nodeOf(id));
    }

    @Test
    void anAttemptHasNoMoreThanItsTime() {
        Bench b = under(dear(Effect.SAFE, new RetryPolicy(2, 120, 0, 1, 0)));
        String id = b.ask("dear", 1);
        assertEquals(120, b.out.sent.get(b.out.sent.size() - 1).timeoutMs());
        b.end(id, Outcome.RESET);
        assertEquals(120, b.out.sent.get(b.out.sent.size() - 1).timeoutMs());
    }

    @Test
    void theNextAttemptWaitsAndNothingGoesOutMeanwhile() {
        Bench b = under(dear(Effect.SAFE, new RetryPolicy(3, 0, 80, 2, 1000)));
        String id = b.ask("dear", 1);
        b.end(id, Outcome.RESET);
        b.advance(79);
        assertEquals(1, b.sendsOf(id));
        b.advance(1);
        assertEquals(2, b.sendsOf(id));
        assertEquals(0, b.out.answers(id));
    }

    @Test
    void aWaitThatOutlastsTheClientIsAnsweredAtOnce() {
        Bench b = under(dear(Effect.SAFE, new RetryPolicy(3, 0, 2000, 1, 2000)));
        String id = b.ask("dear", 1);
        b.end(id, Outcome.RESET);
        assertEquals(1, b.out.answers(id), "held back for nothing");
        b.advance(5000);
        assertEquals(1, b.sendsOf(id));
    }

    @Test
    void aClientThatLeavesDuringTheWaitIsForgotten() {
        Bench b = under(dear(Effect.SAFE, new RetryPolicy(3, 0, 80, 1, 80)));
        String id = b.ask("dear", 1);
        b.end(id, Outcome.RESET);
        b.router.onClientDisconnected(b.now, id, b.out);
        b.advance(500);
        assertEquals(1, b.sendsOf(id));
        assertEquals(0, b.out.answers(id));
    }

    @Test
    void aRequestKeepsTheClassThatItCameUnder() {
        Bench b = under(dear(Effect.UNSAFE, RetryPolicy.PLATFORM_DEFAULT));
        String unsafe = b.ask("dear", 1);
        b.router.onClassesChanged(b.now, List.of(dear(Effect.SAFE, RetryPolicy.PLATFORM_DEFAULT)));
        String safe = b.ask("dear", 2);
        b.end(unsafe, Outcome.RESET);
        b.end(safe, Outcome.RESET);
        assertEquals(1, b.sendsOf(unsafe), "it came as unsafe and may have run");
        assertEquals(1, b.out.answers(unsafe));
        assertEquals(2, b.sendsOf(safe));
    }

    @Test
    void aClassThatIsTakenOutStillHoldsForWhatIsInFlight() {
        Bench b = under(dear(Effect.SAFE, RetryPolicy.PLATFORM_DEFAULT));
        String id = b.ask("dear", 1);
        b.router.onClassesChanged(b.now, List.of());
        b.end(id, Outcome.RESET);
        assertEquals(2, b.sendsOf(id));
        b.advance(Bench.BUDGET);
        assertEquals(1, b.out.answers(id));
        assertTrue(b.out.answers(b.ask("dear", 1)) <= 1);
    }
}
