package ridgemill.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import ridgemill.policy.Router.AttemptResult;
import ridgemill.policy.Router.Availability;
import ridgemill.policy.Router.ListUpdateKind;
import ridgemill.policy.Router.Node;
import ridgemill.policy.Router.Outcome;

/** Invalid input must neither break a rule nor throw. */
class BadInputTest {

    @Test
    void duplicateListEntriesAreAppliedInOrder() {
        RouterHarness harness = RouterHarness.withCacheNodes(2);
        harness.router.onNodeList(harness.now, ListUpdateKind.FULL, -5, List.of(
                RouterHarness.node("c0", 0, Availability.UP), RouterHarness.node("c0", 0, Availability.DRAINING),
                RouterHarness.node("c1", 0, Availability.UP), RouterHarness.origin()),
                harness.actions);
        for (int key = 0; key < 20; key++) {
            harness.endAttempt(harness.request("premium", key), Outcome.OK);
        }
        assertEquals(0, harness.actions.sentTo("c0"));
        harness.updateNodes(RouterHarness.node("c0", harness.now, Availability.UP));
        for (int key = 0; key < 50; key++) {
            harness.endAttempt(harness.request("premium", key), Outcome.OK);
            harness.advance(100);
        }
        assertTrue(harness.actions.sentTo("c0") > 0, "the restarted node must be used again");
    }

    @Test
    void invalidWeightsDoNotExcludeANode() {
        var base = RouterHarness.settings(true, false);
        RouterHarness harness = new RouterHarness(new Router.Settings(0, 2, "z", 5, base.classes(), List.of(), 1,
                false, base.limits(), base.rules(), false, Router.WeightMode.SIZE, "origin"));
        harness.updateNodes(RouterHarness.origin(), weighted("c0", 0), weighted("c1", -3), weighted("c2", Double.NaN),
                weighted("c3", Double.POSITIVE_INFINITY), weighted("c4", 1e300));
        for (int key = 0; key < 200; key++) {
            harness.endAttempt(harness.request("premium", key), Outcome.OK);
        }
        for (int i = 0; i < 5; i++) {
            assertTrue(harness.actions.sentTo("c" + i) > 10, "c" + i);
        }
    }

    @Test
    void eventsForUnknownRequestsNodesAndTimersAreIgnored() {
        RouterHarness harness = RouterHarness.withCacheNodes(2);
        int before = harness.actions.log.size();
        harness.router.onAttemptEnded(harness.now,
                new AttemptResult("no", 0, "nowhere", Outcome.OK, 5, true, 0, Map.of()), harness.actions);
        harness.router.onAttemptEnded(harness.now, new AttemptResult("no", 3, "c0", Outcome.MISS, Double.NaN, false, 9,
                Map.of("backlog", Double.NaN)), harness.actions);
        harness.router.onClientDisconnected(harness.now, "no", harness.actions);
        harness.router.onStreamStarted(harness.now, "no", 0, "c0", harness.actions);
        harness.router.onTimer(harness.now, "rno", harness.actions);
        harness.router.onTimer(harness.now, "wno", harness.actions);
        harness.router.onProbeResult(harness.now, "nowhere", Outcome.ERROR, -1, Map.of(), harness.actions);
        harness.router.onPeerMessage(harness.now, 99, new byte[300], harness.actions);
        assertEquals(before, harness.actions.log.size());
        assertEquals(1, harness.sendCount(harness.request("premium", 1)));
    }

    @Test
    void clockJumpLosesNoRequest() {
        RouterHarness harness = RouterHarness.withCacheNodes(2);
        String id = harness.request("premium", 1);
        harness.now += 60_000;
        harness.router.onTimer(harness.now, "r" + id, harness.actions);
        harness.router.onTimer(harness.now, "step", harness.actions);
        assertEquals(1, harness.actions.finalAnswers(id));
        assertEquals(1, harness.sendCount(harness.request("premium", 2)));
    }

    @Test
    void unknownClassIsTreatedAsUnsafe() {
        RouterHarness harness = RouterHarness.withCacheNodes(2);
        String id = harness.request("unknown", 1, true);
        harness.endAttempt(id, Outcome.ERROR);
        assertEquals(1, harness.sendCount(id));
        assertEquals(List.of(id), harness.actions.failedRequests);
    }

    private static Node weighted(String id, double weight) {
        return new Node(id, "cache", "z", 0, weight, 0, Availability.UP);
    }
}
