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

/** What changes when one router is one of hundreds, each with a few requests a second. */
class ManyProxiesTest {

    private static final int PROXIES = 600;

    private static Settings settings(boolean peers, Router.ConnectionCosts connections) {
        var limits = new Router.PlatformLimits(6, true, false, peers, true, 500, false, 150);
        return new Settings(0, PROXIES, "z", 5, RouterHarness.serviceClasses(), List.of(), 1, false, limits, RouterHarness.RULES, false,
                Router.WeightMode.NONE, "origin", connections);
    }

    private static RouterHarness bench(boolean peers, int caches) {
        RouterHarness b = new RouterHarness(settings(peers, Router.ConnectionCosts.FREE));
        b.listNodes(caches);
        return b;
    }

    @Test
    void anIdleConnectionIsClosedWhereOneFromEachWouldCostMoreThanOpeningThem() {
        RouterHarness b = new RouterHarness(settings(false, new Router.ConnectionCosts(60_000, 0.03, 0.03)));
        b.listNodes(4);
        String id = b.request("dear", 1);
        b.endAttempt(id, Outcome.OK);
        assertEquals(List.of(b.nodeOf(id)), b.actions.closedNodes);
    }

    @Test
    void connectionsStayOpenWhereTheyHaveNoPrice() {
        RouterHarness b = bench(false, 4);
        b.endAttempt(b.request("dear", 1), Outcome.OK);
        b.advance(5000);
        assertEquals(List.of(), b.actions.closedNodes);
    }

    @Test
    void aHotKeyIsSpreadOverMoreThanItsPairAndOthersAreNot() {
        RouterHarness b = bench(false, 40);
        var hot = new TreeSet<String>();
        for (int i = 0; i < 400; i++) {
            String id = b.request("dear", i % 4 == 0 ? 42 : 1000 + i);
            if (i % 4 == 0) {
                hot.add(b.nodeOf(id));
            }
            b.endAttempt(id, Outcome.OK);
            b.advance(400);
        }
        assertTrue(hot.size() > 4, hot.toString());
    }

    @Test
    void peersLearnOfAHotKeyFromEachOther() {
        RouterHarness told = bench(true, 40);
        RouterHarness alone = bench(true, 40);
        RouterHarness teller = bench(true, 40);
        for (int i = 0; i < 4000; i++) {
            teller.endAttempt(teller.request("dear", i % 4 == 0 ? 42 : 1000 + i), Outcome.OK);
            teller.advance(100);
        }
        assertTrue(!teller.actions.broadcasts.isEmpty() && teller.actions.broadcasts.size() < 200, "a bounded sample");
        for (int round = 0; round < 6; round++) {
            for (byte[] news : teller.actions.broadcasts) {
                told.router.onPeerMessage(told.now, 5, news, told.actions);
            }
        }
        assertEquals(1, nodesOf42(alone, 3).size());
        assertTrue(nodesOf42(told, 30).size() > 2);
    }

    private static TreeSet<String> nodesOf42(RouterHarness b, int times) {
        var nodes = new TreeSet<String>();
        for (int i = 0; i < times; i++) {
            String id = b.request("dear", 42);
            nodes.add(b.nodeOf(id));
            b.endAttempt(id, Outcome.OK);
            b.advance(2000);
        }
        return nodes;
    }

    @Test
    void requestsAreTurnedAwayByChanceOnceLittleOfWhatIsSentIsAnswered() {
        RouterHarness b = bench(false, 40);
        int sent = 0;
        for (int i = 0; i < 200; i++) {
            String id = b.request("dear", i);
            if (b.sendCount(id) > 0) {
                sent++;
                b.endAttempt(id, Outcome.TIMEOUT, 300);
            }
            b.advance(200);
        }
        assertTrue(sent < 100, sent + " of 200 sent to a fleet that answers nothing");
        b.advance(20_000);
        int again = 0;
        for (int i = 0; i < 100; i++) {
            String id = b.request("dear", 5000 + i);
            if (b.sendCount(id) > 0) {
                again++;
                b.endAttempt(id, Outcome.OK);
            }
            b.advance(200);
        }
        assertTrue(again > 60, again + " of 100 sent once it answers");
    }

    @Test
    void aBalancerWithFewRequestsRefusesNothingWhileItsAttemptsAreYoung() {
        RouterHarness b = bench(false, 40);
        for (int i = 0; i < 20; i++) {
            String id = b.request("dear", i);
            assertEquals(1, b.sendCount(id), "request " + i);
            b.advance(100);
            b.endAttempt(id, Outcome.OK);
            b.advance(4850);
        }
    }

    @Test
    void aFleetOfRoutersTogetherKeepsAColdNodesBudget() {
        int routers = 60;
        double perRouterMs = 400;
        var fleet = new ArrayList<RouterHarness>();
        for (int i = 0; i < routers; i++) {
            fleet.add(bench(false, 10));
        }
        long next = 0;
        int cold = 0;
        for (double t = 0; t < 24_000; t += perRouterMs) {
            boolean listed = t >= 20_000;
            for (int i = 0; i < routers; i++) {
                RouterHarness b = fleet.get(i);
                if (t == 20_000) {
                    b.updateNodes(new Node("c0", "cache", "z", 0, 1, b.now, Availability.UP));
                }
                // Half of the traffic is one key; the rest is spread.
                String id = "f" + i + "n" + next++;
                b.router.onRequest(b.now, new Router.Request(id, "dear", null, next % 2 == 0 ? 42 : next, 0,
                        RouterHarness.BUDGET_MS, false, false), b.actions);
                if (b.sendCount(id) > 0) {
                    cold += listed && b.nodeOf(id).equals("c0") ? 1 : 0;
                    b.endAttempt(id, Outcome.OK);
                }
                b.advance(perRouterMs);
            }
        }
        double usualPerS = routers * 1000 / perRouterMs / 10;
        double most = RouterHarness.RULES.overloadMultiple() * RouterHarness.RULES.coldStartShare() * usualPerS * 4;
        assertTrue(cold > 0 && cold < most, cold + " sends to the cold node, at most " + most);
    }

    @Test
    void aMessageThatIsNoListOfKeysDoesNoHarm() {
        RouterHarness b = bench(true, 4);
        b.router.onPeerMessage(b.now, 3, new byte[] {1, 2, 3}, b.actions);
        b.router.onPeerMessage(b.now, 3, new byte[0], b.actions);
        b.router.onNodeList(b.now, ListUpdateKind.CHANGES, 3, List.of(), b.actions);
        assertEquals(1, b.sendCount(b.request("dear", 1)));
        b.router.onProbeResult(b.now, "c0", Outcome.OK, 1, Map.of(), b.actions);
    }
}
