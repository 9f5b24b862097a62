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

/** The rules of the platform as kept by a single router. */
class RulesTest {

    @Test
    void everyRequestIsAnsweredOnceBeforeItsDeadline() {
        RouterHarness harness = RouterHarness.withCacheNodes(3);
        String unanswered = harness.request("premium", 1);
        String fetching = harness.request("premium", 2);
        harness.endAttempt(fetching, Outcome.MISS);
        if (!harness.nodeOf(fetching).equals("db")) {
            harness.endAttempt(fetching, Outcome.MISS);
        }
        String waiting = harness.request("premium", 2);
        harness.advance(RouterHarness.BUDGET_MS);
        for (String id : List.of(unanswered, fetching, waiting)) {
            assertEquals(1, harness.actions.finalAnswers(id), id);
        }
        harness.advance(5000);
        assertEquals(1, harness.actions.finalAnswers(unanswered));
    }

    @Test
    void requestWithoutTimeLeftIsAnsweredAtOnce() {
        RouterHarness harness = RouterHarness.withCacheNodes(3);
        harness.router.onRequest(harness.now, new Router.Request("late", "premium", null, 1, 0, 0, false, false),
                harness.actions);
        assertEquals(1, harness.actions.finalAnswers("late"));
        assertEquals(0, harness.actions.sentAttempts.size());
    }

    @Test
    void requestIsAnsweredAtOnceWithoutNodes() {
        RouterHarness harness = new RouterHarness(RouterHarness.settings(true, false));
        assertEquals(1, harness.actions.finalAnswers(harness.request("premium", 1)));
        assertEquals(1, harness.actions.finalAnswers(harness.request("unsafe", 1, true)));
    }

    @Test
    void noActionFollowsAFinalAnswer() {
        RouterHarness harness = RouterHarness.withCacheNodes(3);
        String id = harness.request("premium", 1);
        harness.advance(RouterHarness.BUDGET_MS);
        int sent = harness.actions.sentAttempts.size();
        harness.endAttempt(id, Outcome.CANCELLED);
        harness.router.onClientDisconnected(harness.now, id, harness.actions);
        harness.advance(2000);
        assertEquals(sent, harness.actions.sentAttempts.size());
        assertEquals(1, harness.actions.finalAnswers(id));
    }

    @Test
    void unsafeRequestThatMayHaveRunFailsWithoutRetry() {
        RouterHarness harness = RouterHarness.withCacheNodes(3);
        String id = harness.request("unsafe", 1, true);
        harness.endAttempt(id, Outcome.ERROR);
        assertEquals(1, harness.sendCount(id));
        assertEquals(List.of(id), harness.actions.failedRequests);
    }

    @Test
    void unsafeRequestThatDidNotRunIsRefused() {
        RouterHarness harness = RouterHarness.withCacheNodes(3);
        String id = harness.request("unsafe", 1, true);
        harness.endAttempt(id, Outcome.REJECTED);
        assertEquals(List.of(id), harness.actions.refusedRequests);
    }

    @Test
    void zoneKeyedRequestThatMayHaveRunIsNotRefused() {
        RouterHarness harness = RouterHarness.withCacheNodes(3);
        String id = harness.request("zoned", 1, true);
        harness.endAttempt(id, Outcome.TIMEOUT);
        assertEquals(List.of(id), harness.actions.failedRequests);
        assertEquals(1, harness.sendCount(id));
    }

    @Test
    void keyedRequestIsRetriedOnlyInsideItsWindow() {
        RouterHarness harness = RouterHarness.withCacheNodes(3);
        String early = harness.request("keyed", 1, true);
        harness.advance(100);
        harness.endAttempt(early, Outcome.ERROR);
        assertEquals(2, harness.sendCount(early));
        String late = harness.request("keyed", 2, true);
        harness.advance(600);
        harness.endAttempt(late, Outcome.ERROR);
        assertEquals(1, harness.sendCount(late));
    }

    @Test
    void oneAttemptAtATimeUpToTheLimit() {
        RouterHarness harness = new RouterHarness(RouterHarness.settings(true, false, 2));
        harness.listNodes(4);
        String id = harness.request("premium", 1);
        for (int i = 0; i < 4 && harness.actions.finalAnswers(id) == 0; i++) {
            assertEquals(i + 1, harness.sendCount(id));
            harness.endAttempt(id, Outcome.MISS);
        }
        assertTrue(harness.sendCount(id) <= 2);
        assertEquals(1, harness.actions.finalAnswers(id));
    }

    @Test
    void drainingAndRemovedNodesGetNoRequests() {
        RouterHarness harness = RouterHarness.withCacheNodes(3);
        harness.updateNodes(RouterHarness.node("c0", 0, Availability.DRAINING),
                RouterHarness.node("c1", 0, Availability.GONE));
        for (int key = 0; key < 50; key++) {
            harness.request("premium", key);
        }
        assertEquals(0, harness.actions.sentTo("c0") + harness.actions.sentTo("c1"));
    }

    @Test
    void nodeMissingFromFullListIsRemoved() {
        RouterHarness harness = RouterHarness.withCacheNodes(3);
        harness.listNodes(2);
        for (int key = 0; key < 50; key++) {
            harness.request("premium", key);
        }
        assertEquals(0, harness.actions.sentTo("c2"));
    }

    @Test
    void drainingOriginGetsNoRequests() {
        RouterHarness harness = RouterHarness.withCacheNodes(3);
        harness.updateNodes(new Router.Node("db", "origin", "z", 0, 1, 0, Availability.DRAINING));
        String id = harness.request("keyed", 1, true);
        assertEquals(0, harness.actions.sentTo("db"));
        assertEquals(1, harness.actions.finalAnswers(id));
    }

    @Test
    void coldNodeLoadStaysBelowItsLimit() {
        RouterHarness harness = RouterHarness.withCacheNodes(4);
        for (int i = 0; i < 4000; i++) {
            harness.endAttempt(harness.request("premium", i), Outcome.OK);
            harness.advance(5);
        }
        double usual = harness.actions.sentAttempts.size() / 4.0 / 20;
        harness.updateNodes(RouterHarness.node("c0", harness.now, Availability.UP));
        int before = (int) harness.actions.sentTo("c0");
        for (int i = 0; i < 400; i++) {
            harness.endAttempt(harness.request("premium", 10_000 + i), Outcome.OK);
            harness.advance(5);
        }
        long sentToCold = harness.actions.sentTo("c0") - before;
        double most = RouterHarness.RULES.overloadMultiple() * RouterHarness.RULES.coldStartShare() * usual * 2;
        assertTrue(sentToCold > 0 && sentToCold < most, sentToCold + " sends, at most " + most);
    }

    @Test
    void restartWithRememberedListSubscribesAndRetries() {
        RouterHarness harness = new RouterHarness(RouterHarness.settings(true, true));
        harness.router.onNodeList(harness.now, ListUpdateKind.REMEMBERED, 1,
                List.of(RouterHarness.node("c0", 0, Availability.UP)), harness.actions);
        harness.advance(1500);
        assertEquals(1, harness.actions.subscribeCalls);
        harness.router.onNodeList(harness.now, ListUpdateKind.REFUSED, 1, List.of(), harness.actions);
        harness.advance(5000);
        assertEquals(2, harness.actions.subscribeCalls);
    }

    @Test
    void settingsWithoutClassesOrDeadlinesAreRejectedByName() {
        Settings valid = RouterHarness.settings(true, false);
        var noClasses = assertThrows(IllegalArgumentException.class, () -> new Settings(0, 1, "z", 5, List.of(),
                List.of(), 1, false, valid.limits(), valid.rules(), false, Router.WeightMode.NONE, null));
        assertTrue(noClasses.getMessage().contains("classes"));
        var withoutDeadline = new Router.ServiceClass("x", 1, 0, 0, 1, 0, Router.Effect.SAFE,
                Router.DeduplicationScope.ALL, 0, false);
        var noDeadline = assertThrows(IllegalArgumentException.class, () -> new Settings(0, 1, "z", 5,
                List.of(withoutDeadline), List.of(), 1, false, valid.limits(), valid.rules(), false,
                Router.WeightMode.NONE, null));
        assertTrue(noDeadline.getMessage().contains("deadlineMs"));
    }
}
