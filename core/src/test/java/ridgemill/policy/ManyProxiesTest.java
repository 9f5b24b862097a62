package ridgemill.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import ridgemill.policy.Router.Availability;
import ridgemill.policy.Router.ListUpdateKind;
import ridgemill.policy.Router.Node;
import ridgemill.policy.Router.Outcome;
import ridgemill.policy.Router.Settings;

/** Behavior of a router that is one of hundreds, each with a few requests per second. */
class ManyProxiesTest {

    private static final int PROXIES = 600;

    private static Settings settings(boolean peerMessages, Router.ConnectionCosts costs) {
        var limits = new Router.PlatformLimits(6, true, false, peerMessages, true, 500, false, 150);
        return new Settings(0, PROXIES, "z", 5, RouterHarness.serviceClasses(), List.of(), 1, false, limits,
                RouterHarness.RULES, false, Router.WeightMode.NONE, "origin", costs);
    }

    private static RouterHarness withCacheNodes(boolean peerMessages, int count) {
        RouterHarness harness = new RouterHarness(settings(peerMessages, Router.ConnectionCosts.FREE));
        harness.listNodes(count);
        return harness;
    }

    @Test
    void idleConnectionIsClosedIfHoldingCostsMoreThanOpening() {
        RouterHarness harness = new RouterHarness(settings(false, new Router.ConnectionCosts(60_000, 0.03, 0.03)));
        harness.listNodes(4);
        String id = harness.request("premium", 1);
        harness.endAttempt(id, Outcome.OK);
        assertEquals(List.of(harness.nodeOf(id)), harness.actions.closedNodes);
    }

    @Test
    void connectionsStayOpenIfTheyHaveNoCost() {
        RouterHarness harness = withCacheNodes(false, 4);
        harness.endAttempt(harness.request("premium", 1), Outcome.OK);
        harness.advance(5000);
        assertEquals(List.of(), harness.actions.closedNodes);
    }

    @Test
    void hotKeyIsSpreadOverMoreThanItsPair() {
        RouterHarness harness = withCacheNodes(false, 40);
        var nodesOfHotKey = new TreeSet<String>();
        for (int i = 0; i < 400; i++) {
            String id = harness.request("premium", i % 4 == 0 ? 42 : 1000 + i);
            if (i % 4 == 0) {
                nodesOfHotKey.add(harness.nodeOf(id));
            }
            harness.endAttempt(id, Outcome.OK);
            harness.advance(400);
        }
        assertTrue(nodesOfHotKey.size() > 4, nodesOfHotKey.toString());
    }

    @Test
    void proxiesLearnHotKeysFromPeers() {
        RouterHarness informed = withCacheNodes(true, 40);
        RouterHarness uninformed = withCacheNodes(true, 40);
        RouterHarness sender = withCacheNodes(true, 40);
        for (int i = 0; i < 4000; i++) {
            sender.endAttempt(sender.request("premium", i % 4 == 0 ? 42 : 1000 + i), Outcome.OK);
            sender.advance(100);
        }
        assertTrue(!sender.actions.broadcasts.isEmpty() && sender.actions.broadcasts.size() < 200,
                "broadcasts must be a bounded sample");
        for (int round = 0; round < 6; round++) {
            for (byte[] message : sender.actions.broadcasts) {
                informed.router.onPeerMessage(informed.now, 5, message, informed.actions);
            }
        }
        assertEquals(1, nodesOfKey42(uninformed, 3).size());
        assertTrue(nodesOfKey42(informed, 30).size() > 2);
    }

    private static TreeSet<String> nodesOfKey42(RouterHarness harness, int times) {
        var nodes = new TreeSet<String>();
        for (int i = 0; i < times; i++) {
            String id = harness.request("premium", 42);
            nodes.add(harness.nodeOf(id));
            harness.endAttempt(id, Outcome.OK);
            harness.advance(2000);
        }
        return nodes;
    }

    @Test
    void requestsAreRefusedAtRandomIfFewAttemptsAreAnswered() {
        RouterHarness harness = withCacheNodes(false, 40);
        int sent = 0;
        for (int i = 0; i < 200; i++) {
            String id = harness.request("premium", i);
            if (harness.sendCount(id) > 0) {
                sent++;
                harness.endAttempt(id, Outcome.TIMEOUT, 300);
            }
            harness.advance(200);
        }
        assertTrue(sent < 100, sent + " of 200 sent to nodes that do not answer");
        harness.advance(20_000);
        int sentAgain = 0;
        for (int i = 0; i < 100; i++) {
            String id = harness.request("premium", 5000 + i);
            if (harness.sendCount(id) > 0) {
                sentAgain++;
                harness.endAttempt(id, Outcome.OK);
            }
            harness.advance(200);
        }
        assertTrue(sentAgain > 60, sentAgain + " of 100 sent once nodes answer");
    }

    @Test
    void proxyWithFewRequestsRefusesNothingWhileAttemptsAreRecent() {
        RouterHarness harness = withCacheNodes(false, 40);
        for (int i = 0; i < 20; i++) {
            String id = harness.request("premium", i);
            assertEquals(1, harness.sendCount(id), "request " + i);
            harness.advance(100);
            harness.endAttempt(id, Outcome.OK);
            harness.advance(4850);
        }
    }

    @Test
    void proxiesTogetherKeepTheLoadLimitOfAColdNode() {
        int routers = 60;
        double requestIntervalMs = 400;
        var fleet = new ArrayList<RouterHarness>();
        for (int i = 0; i < routers; i++) {
            fleet.add(withCacheNodes(false, 10));
        }
        long next = 0;
        int sentToCold = 0;
        for (double t = 0; t < 24_000; t += requestIntervalMs) {
            boolean listed = t >= 20_000;
            for (int i = 0; i < routers; i++) {
                RouterHarness harness = fleet.get(i);
                if (t == 20_000) {
                    harness.updateNodes(new Node("c0", "cache", "z", 0, 1, harness.now, Availability.UP));
                }
                // Half of the requests have the same key; the others have distinct keys.
                String id = "f" + i + "n" + next++;
                harness.router.onRequest(harness.now, new Router.Request(id, "premium", null,
                        next % 2 == 0 ? 42 : next, 0, RouterHarness.BUDGET_MS, false, false), harness.actions);
                if (harness.sendCount(id) > 0) {
                    sentToCold += listed && harness.nodeOf(id).equals("c0") ? 1 : 0;
                    harness.endAttempt(id, Outcome.OK);
                }
                harness.advance(requestIntervalMs);
            }
        }
        double usualPerS = routers * 1000 / requestIntervalMs / 10;
        double most = RouterHarness.RULES.overloadMultiple() * RouterHarness.RULES.coldStartShare() * usualPerS * 4;
        assertTrue(sentToCold > 0 && sentToCold < most, sentToCold + " sends to the cold node, at most " + most);
    }

    @Test
    void malformedPeerMessageIsIgnored() {
        RouterHarness harness = withCacheNodes(true, 4);
        harness.router.onPeerMessage(harness.now, 3, new byte[] {1, 2, 3}, harness.actions);
        harness.router.onPeerMessage(harness.now, 3, new byte[0], harness.actions);
        harness.router.onNodeList(harness.now, ListUpdateKind.CHANGES, 3, List.of(), harness.actions);
        assertEquals(1, harness.sendCount(harness.request("premium", 1)));
        harness.router.onProbeResult(harness.now, "c0", Outcome.OK, 1, Map.of(), harness.actions);
    }
}
