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

/** Odd input neither breaks a rule nor the module. */
class BadInputTest {

    @Test
    void contradictoryListsAreTakenEntryByEntry() {
        RouterHarness b = RouterHarness.withCacheNodes(2);
        b.router.onNodeList(b.now, ListUpdateKind.FULL, -5, List.of(RouterHarness.node("c0", 0, Availability.UP),
                RouterHarness.node("c0", 0, Availability.DRAINING), RouterHarness.node("c1", 0, Availability.UP), RouterHarness.origin()),
                b.actions);
        for (int key = 0; key < 20; key++) {
            b.endAttempt(b.request("dear", key), Outcome.OK);
        }
        assertEquals(0, b.actions.sentTo("c0"));
        b.updateNodes(RouterHarness.node("c0", b.now, Availability.UP));
        for (int key = 0; key < 50; key++) {
            b.endAttempt(b.request("dear", key), Outcome.OK);
            b.advance(100);
        }
        assertTrue(b.actions.sentTo("c0") > 0, "it is back under its name");
    }

    @Test
    void absurdWeightsDoNotShutANodeOut() {
        var s = RouterHarness.settings(true, false);
        RouterHarness b = new RouterHarness(new Router.Settings(0, 2, "z", 5, s.classes(), List.of(), 1, false, s.limits(), s.rules(),
                false, Router.WeightMode.SIZE, "origin"));
        b.updateNodes(RouterHarness.origin(), weighted("c0", 0), weighted("c1", -3), weighted("c2", Double.NaN),
                weighted("c3", Double.POSITIVE_INFINITY), weighted("c4", 1e300));
        for (int key = 0; key < 200; key++) {
            b.endAttempt(b.request("dear", key), Outcome.OK);
        }
        for (int i = 0; i < 5; i++) {
            assertTrue(b.actions.sentTo("c" + i) > 10, "c" + i);
        }
    }

    @Test
    void eventsForUnknownRequestsNodesAndTimersAreIgnored() {
        RouterHarness b = RouterHarness.withCacheNodes(2);
        int before = b.actions.log.size();
        b.router.onAttemptEnded(b.now, new AttemptResult("no", 0, "nowhere", Outcome.OK, 5, true, 0, Map.of()), b.actions);
        b.router.onAttemptEnded(b.now, new AttemptResult("no", 3, "c0", Outcome.MISS, Double.NaN, false, 9,
                Map.of("backlog", Double.NaN)), b.actions);
        b.router.onClientDisconnected(b.now, "no", b.actions);
        b.router.onStreamStarted(b.now, "no", 0, "c0", b.actions);
        b.router.onTimer(b.now, "rno", b.actions);
        b.router.onTimer(b.now, "whatever", b.actions);
        b.router.onProbeResult(b.now, "nowhere", Outcome.ERROR, -1, Map.of(), b.actions);
        b.router.onPeerMessage(b.now, 99, new byte[300], b.actions);
        assertEquals(before, b.actions.log.size());
        assertEquals(1, b.sendCount(b.request("dear", 1)));
    }

    @Test
    void aJumpOfTheClockLosesNoRequest() {
        RouterHarness b = RouterHarness.withCacheNodes(2);
        String id = b.request("dear", 1);
        b.now += 60_000;
        b.router.onTimer(b.now, "r" + id, b.actions);
        b.router.onTimer(b.now, "step", b.actions);
        assertEquals(1, b.actions.finalAnswers(id));
        assertEquals(1, b.sendCount(b.request("dear", 2)));
    }

    @Test
    void anUnknownClassIsTreatedAsTheMostCareful() {
        RouterHarness b = RouterHarness.withCacheNodes(2);
        String id = b.request("never heard of", 1, true);
        b.endAttempt(id, Outcome.ERROR);
        assertEquals(1, b.sendCount(id));
        assertEquals(List.of(id), b.actions.failedRequests);
    }

    private static Node weighted(String id, double weight) {
        return new Node(id, "cache", "z", 0, weight, 0, Availability.UP);
    }
}
