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
        return new Settings(0, PROXIES, "z", 5, Bench.services(), List.of(), 1, false, limits, Bench.RULES, false,
                Router.WeightMode.NONE, "origin", connections);
    }

    private static Bench bench(boolean peers, int caches) {
        Bench b = new Bench(settings(peers, Router.ConnectionCosts.FREE));
        b.list(caches);
        return b;
    }

    @Test
    void anIdleConnectionIsClosedWhereOneFromEachWouldCostMoreThanOpeningThem() {
        Bench b = new Bench(settings(false, new Router.ConnectionCosts(60_000, 0.03, 0.03)));
        b.list(4);
        String id = b.ask("dear", 1);
        b.end(id, Outcome.OK);
        assertEquals(List.of(b.nodeOf(id)), b.out.closed);
    }

    @Test
    void connectionsStayOpenWhereTheyHaveNoPrice() {
        Bench b = bench(false, 4);
        b.end(b.ask("dear", 1), Outcome.OK);
        b.advance(5000);
        assertEquals(List.of(), b.out.closed);
    }

    @Test
    void aHotKeyIsSpreadOverMoreThanItsPairAndOthersAreNot() {
        Bench b = bench(false, 40);
        var hot = new TreeSet<String>();
        for (int i = 0; i < 400; i++) {
            String id = b.ask("dear", i % 4 == 0 ? 42 : 1000 + i);
            if (i % 4 == 0) {
                hot.add(b.nodeOf(id));
            }
            b.end(id, Outcome.OK);
            b.advance(400);
        }
        assertTrue(hot.size() > 4, hot.toString());
    }

    @Test
    void peersLearnOfAHotKeyFromEachOther() {
        Bench told = bench(true, 40);
        Bench alone = bench(true, 40);
        Bench teller = bench(true, 40);
        for (int i = 0; i < 4000; i++) {
            teller.end(teller.ask("dear", i % 4 == 0 ? 42 : 1000 + i), Outcome.OK);
            teller.advance(100);
        }
        assertTrue(!teller.out.told.isEmpty() && teller.out.told.size() < 200, "a bounded sample");
        for (int round = 0; round < 6; round++) {
            for (byte[] news : teller.out.told) {
                told.router.onPeerMessage(told.now, 5, news, told.out);
            }
        }
        assertEquals(1, nodesOf42(alone, 3).size());
        assertTrue(nodesOf42(told, 30).size() > 2);
    }

    private static TreeSet<String> nodesOf42(Bench b, int times) {
        var nodes = new TreeSet<String>();
        for (int i = 0; i < times; i++) {
            String id = b.ask("dear", 42);
            nodes.add(b.nodeOf(id));
            b.end(id, Outcome.OK);
            b.advance(2000);
        }
        return nodes;
    }

    @Test
    void requestsAreTurnedAwayByChanceOnceLittleOfWhatIsSentIsAnswered() {
        Bench b = bench(false, 40);
        int sent = 0;
        for (int i = 0; i < 200; i++) {
            String id = b.ask("dear", i);
            if (b.sendsOf(id) > 0) {
                sent++;
                b.end(id, Outcome.TIMEOUT, 300);
            }
            b.advance(200);
        }
        assertTrue(sent < 100, sent + " of 200 sent to a fleet that answers nothing");
        b.advance(20_000);
        int again = 0;
        for (int i = 0; i < 100; i++) {
            String id = b.ask("dear", 5000 + i);
            if (b.sendsOf(id) > 0) {
                again++;
                b.end(id, Outcome.OK);
            }
            b.advance(200);
        }
        assertTrue(again > 60, again + " of 100 sent once it answers");
    }

    @Test
    void aBalancerWithFewRequestsRefusesNothingWhileItsAttemptsAreYoung() {
        Bench b = bench(false, 40);
        for (int i = 0; i < 20; i++) {
            String id = b.ask("dear", i);
            assertEquals(1, b.sendsOf(id), "request " + i);
            b.advance(100);
            b.end(id, Outcome.OK);
            b.advance(4850);
        }
    }

    @Test
    void aFleetOfRoutersTogetherKeepsAColdNodesBudget() {
        int routers = 60;
        double perRouterMs = 400;
        var fleet = new ArrayList<Bench>();
        for (int i = 0; i < routers; i++) {
            fleet.add(bench(false, 10));
        }
        long next = 0;
        int cold = 0;
        for (double t = 0; t < 24_000; t += perRouterMs) {
            boolean listed = t >= 20_000;
            for (int i = 0; i < routers; i++) {
                Bench b = fleet.get(i);
                if (t == 20_000) {
                    b.change(new Node("c0", "cache", "z", 0, 1, b.now, Availability.UP));
                }
                // Half of the traffic is one key; the rest is spread.
                String id = "f" + i + "n" + next++;
                b.router.onRequest(b.now, new Router.Request(id, "dear", null, next % 2 == 0 ? 42 : next, 0,
                        Bench.BUDGET, false, false), b.out);
                if (b.sendsOf(id) > 0) {
                    cold += listed && b.nodeOf(id).equals("c0") ? 1 : 0;
                    b.end(id, Outcome.OK);
                }
                b.advance(perRouterMs);
            }
        }
        double usualPerS = routers * 1000 / perRouterMs / 10;
        double most = Bench.RULES.overloadMultiple() * Bench.RULES.coldStartShare() * usualPerS * 4;
        assertTrue(cold > 0 && cold < most, cold + " sends to the cold node, at most " + most);
    }

    @Test
    void aMessageThatIsNoListOfKeysDoesNoHarm() {
        Bench b = bench(true, 4);
        b.router.onPeerMessage(b.now, 3, new byte[] {1, 2, 3}, b.out);
        b.router.onPeerMessage(b.now, 3, new byte[0], b.out);
        b.router.onNodeList(b.now, ListUpdateKind.CHANGES, 3, List.of(), b.out);
        assertEquals(1, b.sendsOf(b.ask("dear", 1)));
        b.router.onProbeResult(b.now, "c0", Outcome.OK, 1, Map.of(), b.out);
    }
}
