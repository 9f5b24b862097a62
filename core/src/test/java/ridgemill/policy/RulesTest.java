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
        RouterHarness b = RouterHarness.withCacheNodes(3);
        String silent = b.request("dear", 1);
        String held = b.request("dear", 2);
        b.endAttempt(held, Outcome.MISS);
        if (!b.nodeOf(held).equals("db")) {
            b.endAttempt(held, Outcome.MISS);
        }
        String second = b.request("dear", 2);
        b.advance(RouterHarness.BUDGET_MS);
        for (String id : List.of(silent, held, second)) {
            assertEquals(1, b.actions.finalAnswers(id), id);
        }
        b.advance(5000);
        assertEquals(1, b.actions.finalAnswers(silent));
    }

    @Test
    void aTryThatComesWithNoTimeLeftIsAnsweredAtOnce() {
        RouterHarness b = RouterHarness.withCacheNodes(3);
        b.router.onRequest(b.now, new Router.Request("late", "dear", null, 1, 0, 0, false, false), b.actions);
        assertEquals(1, b.actions.finalAnswers("late"));
        assertEquals(0, b.actions.sentAttempts.size());
    }

    @Test
    void noNodesMeansAnAnswerAtOnce() {
        RouterHarness b = new RouterHarness(RouterHarness.settings(true, false));
        assertEquals(1, b.actions.finalAnswers(b.request("dear", 1)));
        assertEquals(1, b.actions.finalAnswers(b.request("unsafe", 1, true)));
    }

    @Test
    void nothingFollowsAFinalAnswer() {
        RouterHarness b = RouterHarness.withCacheNodes(3);
        String id = b.request("dear", 1);
        b.advance(RouterHarness.BUDGET_MS);
        int sent = b.actions.sentAttempts.size();
        b.endAttempt(id, Outcome.CANCELLED);
        b.router.onClientDisconnected(b.now, id, b.actions);
        b.advance(2000);
        assertEquals(sent, b.actions.sentAttempts.size());
        assertEquals(1, b.actions.finalAnswers(id));
    }

    @Test
    void unsafeWorkThatMayHaveRunIsFailedAndNeverRepeated() {
        RouterHarness b = RouterHarness.withCacheNodes(3);
        String id = b.request("unsafe", 1, true);
        b.endAttempt(id, Outcome.ERROR);
        assertEquals(1, b.sendCount(id));
        assertEquals(List.of(id), b.actions.failedRequests);
    }

    @Test
    void unsafeWorkThatNeverRanIsRefused() {
        RouterHarness b = RouterHarness.withCacheNodes(3);
        String id = b.request("unsafe", 1, true);
        b.endAttempt(id, Outcome.REJECTED);
        assertEquals(List.of(id), b.actions.refusedRequests);
    }

    @Test
    void keyedWorkOfAZoneIsNotRefusedOnceItMayHaveRun() {
        RouterHarness b = RouterHarness.withCacheNodes(3);
        String id = b.request("zoned", 1, true);
        b.endAttempt(id, Outcome.TIMEOUT);
        assertEquals(List.of(id), b.actions.failedRequests);
        assertEquals(1, b.sendCount(id));
    }

    @Test
    void keyedWorkIsRepeatedOnlyInsideItsWindow() {
        RouterHarness b = RouterHarness.withCacheNodes(3);
        String early = b.request("keyed", 1, true);
        b.advance(100);
        b.endAttempt(early, Outcome.ERROR);
        assertEquals(2, b.sendCount(early));
        String late = b.request("keyed", 2, true);
        b.advance(600);
        b.endAttempt(late, Outcome.ERROR);
        assertEquals(1, b.sendCount(late));
    }

    @Test
    void oneAttemptIsOutAtATimeAndNoMoreThanTheLimit() {
        RouterHarness b = new RouterHarness(RouterHarness.settings(true, false, 2));
        b.listNodes(4);
        String id = b.request("dear", 1);
        for (int i = 0; i < 4 && b.actions.finalAnswers(id) == 0; i++) {
            assertEquals(i + 1, b.sendCount(id));
            b.endAttempt(id, Outcome.MISS);
        }
        assertTrue(b.sendCount(id) <= 2);
        assertEquals(1, b.actions.finalAnswers(id));
    }

    @Test
    void drainingAndGoneNodesGetNothing() {
        RouterHarness b = RouterHarness.withCacheNodes(3);
        b.updateNodes(RouterHarness.node("c0", 0, Availability.DRAINING), RouterHarness.node("c1", 0, Availability.GONE));
        for (int key = 0; key < 50; key++) {
            b.request("dear", key);
        }
        assertEquals(0, b.actions.sentTo("c0") + b.actions.sentTo("c1"));
    }

    @Test
    void aNodeMissingFromAFullListIsGone() {
        RouterHarness b = RouterHarness.withCacheNodes(3);
        b.listNodes(2);
        for (int key = 0; key < 50; key++) {
            b.request("dear", key);
        }
        assertEquals(0, b.actions.sentTo("c2"));
    }

    @Test
    void aDrainingOriginGetsNothing() {
        RouterHarness b = RouterHarness.withCacheNodes(3);
        b.updateNodes(new Router.Node("db", "origin", "z", 0, 1, 0, Availability.DRAINING));
        String id = b.request("keyed", 1, true);
        assertEquals(0, b.actions.sentTo("db"));
        assertEquals(1, b.actions.finalAnswers(id));
    }

    @Test
    void coldNodesGetNoMoreThanTheirBudgetInAnySpan() {
        RouterHarness b = RouterHarness.withCacheNodes(4);
        for (int i = 0; i < 4000; i++) {
            b.endAttempt(b.request("dear", i), Outcome.OK);
            b.advance(5);
        }
        double usual = b.actions.sentAttempts.size() / 4.0 / 20;
        b.updateNodes(RouterHarness.node("c0", b.now, Availability.UP));
        int before = (int) b.actions.sentTo("c0");
        for (int i = 0; i < 400; i++) {
            b.endAttempt(b.request("dear", 10_000 + i), Outcome.OK);
            b.advance(5);
        }
        long cold = b.actions.sentTo("c0") - before;
        double most = RouterHarness.RULES.overloadMultiple() * RouterHarness.RULES.coldStartShare() * usual * 2;
        assertTrue(cold > 0 && cold < most, cold + " sends, at most " + most);
    }

    @Test
    void aRestartWithARememberedListAsksDiscoveryAndAsksAgainWhenRefused() {
        RouterHarness b = new RouterHarness(RouterHarness.settings(true, true));
        b.router.onNodeList(b.now, ListUpdateKind.REMEMBERED, 1, List.of(RouterHarness.node("c0", 0, Availability.UP)), b.actions);
        b.advance(1500);
        assertEquals(1, b.actions.subscribeCalls);
        b.router.onNodeList(b.now, ListUpdateKind.REFUSED, 1, List.of(), b.actions);
        b.advance(5000);
        assertEquals(2, b.actions.subscribeCalls);
    }

    @Test
    void settingsWithoutClassesOrDeadlinesAreRefusedByName() {
        Settings good = RouterHarness.settings(true, false);
        var none = assertThrows(IllegalArgumentException.class, () -> new Settings(0, 1, "z", 5, List.of(), List.of(),
                1, false, good.limits(), good.rules(), false, Router.WeightMode.NONE, null));
        assertTrue(none.getMessage().contains("classes"));
        var timeless = new Router.ServiceClass("x", 1, 0, 0, 1, 0, Router.Effect.SAFE, Router.DeduplicationScope.ALL, 0, false);
        var late = assertThrows(IllegalArgumentException.class, () -> new Settings(0, 1, "z", 5, List.of(timeless),
                List.of(), 1, false, good.limits(), good.rules(), false, Router.WeightMode.NONE, null));
        assertTrue(late.getMessage().contains("deadlineMs"));
    }
}
