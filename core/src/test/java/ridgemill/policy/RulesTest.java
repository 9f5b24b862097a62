package ridgemill.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import ridgemill.policy.Router.Availability;
import ridgemill.policy.Router.ListUpdateKind;
import ridgemill.policy.Router.Outcome;
import ridgemill.policy.Router.Settings;

/** The four rules, kept by one router alone. */
class RulesTest {

    @Test
    void everyRequestIsAnsweredOnceBeforeItsDeadline() {
        Bench b = Bench.withCaches(3);
        String silent = b.ask("dear", 1);
        String held = b.ask("dear", 2);
        b.end(held, Outcome.MISS);
        if (!b.nodeOf(held).equals("db")) {
            b.end(held, Outcome.MISS);
        }
        String second = b.ask("dear", 2);
        b.advance(Bench.BUDGET);
        for (String id : List.of(silent, held, second)) {
            assertEquals(1, b.out.answers(id), id);
        }
        b.advance(5000);
        assertEquals(1, b.out.answers(silent));
    }

    @Test
    void aTryThatComesWithNoTimeLeftIsAnsweredAtOnce() {
        Bench b = Bench.withCaches(3);
        b.router.onRequest(b.now, new Router.Request("late", "dear", null, 1, 0, 0, false, false), b.out);
        assertEquals(1, b.out.answers("late"));
        assertEquals(0, b.out.sent.size());
    }

    @Test
    void noNodesMeansAnAnswerAtOnce() {
        Bench b = new Bench(Bench.settings(true, false));
        assertEquals(1, b.out.answers(b.ask("dear", 1)));
        assertEquals(1, b.out.answers(b.ask("unsafe", 1, true)));
    }

    @Test
    void nothingFollowsAFinalAnswer() {
        Bench b = Bench.withCaches(3);
        String id = b.ask("dear", 1);
        b.advance(Bench.BUDGET);
        int sent = b.out.sent.size();
        b.end(id, Outcome.CANCELLED);
        b.router.onClientDisconnected(b.now, id, b.out);
        b.advance(2000);
        assertEquals(sent, b.out.sent.size());
        assertEquals(1, b.out.answers(id));
    }

    @Test
    void unsafeWorkThatMayHaveRunIsFailedAndNeverRepeated() {
        Bench b = Bench.withCaches(3);
        String id = b.ask("unsafe", 1, true);
        b.end(id, Outcome.ERROR);
        assertEquals(1, b.sendsOf(id));
        assertEquals(List.of(id), b.out.failed);
    }

    @Test
    void unsafeWorkThatNeverRanIsRefused() {
        Bench b = Bench.withCaches(3);
        String id = b.ask("unsafe", 1, true);
        b.end(id, Outcome.REJECTED);
        assertEquals(List.of(id), b.out.refused);
    }

    @Test
    void keyedWorkOfAZoneIsNotRefusedOnceItMayHaveRun() {
        Bench b = Bench.withCaches(3);
        String id = b.ask("zoned", 1, true);
        b.end(id, Outcome.TIMEOUT);
        assertEquals(List.of(id), b.out.failed);
        assertEquals(1, b.sendsOf(id));
    }

    @Test
    void keyedWorkIsRepeatedOnlyInsideItsWindow() {
        Bench b = Bench.withCaches(3);
        String early = b.ask("keyed", 1, true);
        b.advance(100);
        b.end(early, Outcome.ERROR);
        assertEquals(2, b.sendsOf(early));
        String late = b.ask("keyed", 2, true);
        b.advance(600);
        b.end(late, Outcome.ERROR);
        assertEquals(1, b.sendsOf(late));
    }

    @Test
    void oneAttemptIsOutAtATimeAndNoMoreThanTheLimit() {
        Bench b = new Bench(Bench.settings(true, false, 2));
        b.list(4);
        String id = b.ask("dear", 1);
        for (int i = 0; i < 4 && b.out.answers(id) == 0; i++) {
            assertEquals(i + 1, b.sendsOf(id));
            b.end(id, Outcome.MISS);
        }
        assertTrue(b.sendsOf(id) <= 2);
        assertEquals(1, b.out.answers(id));
    }

    @Test
    void drainingAndGoneNodesGetNothing() {
        Bench b = Bench.withCaches(3);
        b.change(Bench.node("c0", 0, Availability.DRAINING), Bench.node("c1", 0, Availability.GONE));
        for (int key = 0; key < 50; key++) {
            b.ask("dear", key);
        }
        assertEquals(0, b.out.sentTo("c0") + b.out.sentTo("c1"));
    }

    @Test
    void aNodeMissingFromAFullListIsGone() {
        Bench b = Bench.withCaches(3);
        b.list(2);
        for (int key = 0; key < 50; key++) {
            b.ask("dear", key);
        }
        assertEquals(0, b.out.sentTo("c2"));
    }

    @Test
    void aDrainingOriginGetsNothing() {
        Bench b = Bench.withCaches(3);
        b.change(new Router.Node("db", "origin", "z", 0, 1, 0, Availability.DRAINING));
        String id = b.ask("keyed", 1, true);
        assertEquals(0, b.out.sentTo("db"));
        assertEquals(1, b.out.answers(id));
    }

    @Test
    void coldNodesGetNoMoreThanTheirBudgetInAnySpan() {
        Bench b = Bench.withCaches(4);
        for (int i = 0; i < 4000; i++) {
            b.end(b.ask("dear", i), Outcome.OK);
            b.advance(5);
        }
        double usual = b.out.sent.size() / 4.0 / 20;
        b.change(Bench.node("c0", b.now, Availability.UP));
        int before = (int) b.out.sentTo("c0");
        for (int i = 0; i < 400; i++) {
            b.end(b.ask("dear", 10_000 + i), Outcome.OK);
            b.advance(5);
        }
        long cold = b.out.sentTo("c0") - before;
        double most = Bench.RULES.overloadMultiple() * Bench.RULES.coldStartShare() * usual * 2;
        assertTrue(cold > 0 && cold < most, cold + " sends, at most " + most);
    }

    @Test
    void aRestartWithARememberedListAsksDiscoveryAndAsksAgainWhenRefused() {
        Bench b = new Bench(Bench.settings(true, true));
        b.router.onNodeList(b.now, ListUpdateKind.REMEMBERED, 1, List.of(Bench.node("c0", 0, Availability.UP)), b.out);
        b.advance(1500);
        assertEquals(1, b.out.subscriptions);
        b.router.onNodeList(b.now, ListUpdateKind.REFUSED, 1, List.of(), b.out);
        b.advance(5000);
        assertEquals(2, b.out.subscriptions);
    }

    @Test
    void settingsWithoutClassesOrDeadlinesAreRefusedByName() {
        Settings good = Bench.settings(true, false);
        var none = assertThrows(IllegalArgumentException.class, () -> new Settings(0, 1, "z", 5, List.of(), List.of(),
                1, false, good.limits(), good.rules(), false, Router.WeightMode.NONE, null));
        assertTrue(none.getMessage().contains("classes"));
        var timeless = new Router.ServiceClass("x", 1, 0, 0, 1, 0, Router.Effect.SAFE, Router.DeduplicationScope.ALL, 0, false);
        var late = assertThrows(IllegalArgumentException.class, () -> new Settings(0, 1, "z", 5, List.of(timeless),
                List.of(), 1, false, good.limits(), good.rules(), false, Router.WeightMode.NONE, null));
        assertTrue(late.getMessage().contains("deadlineMs"));
    }
}
