package ridgemill.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Test;
import ridgemill.policy.Router.Availability;
import ridgemill.policy.Router.ListUpdateKind;
import ridgemill.policy.Router.Outcome;
import ridgemill.policy.Router.Settings;

/** Fourteen proxies in front of ten nodes, each with its own view and its own time to learn: what they do together. */
class FleetTest {

    private static final int PROXIES = 14;
    private static final int NODES = 10;
    private static final double EACH_MS = 60;
    private static final double STARTS_MS = 20_000;

    private static Settings settings(boolean subscribe) {
        var limits = new Router.PlatformLimits(6, true, false, false, true, 500, false, 150);
        return new Settings(0, PROXIES, "z", 5, RouterHarness.serviceClasses(), List.of(), 1, false, limits, RouterHarness.RULES, subscribe,
                Router.WeightMode.NONE, "origin", Router.ConnectionCosts.FREE);
    }

    private static RouterHarness proxy() {
        RouterHarness b = new RouterHarness(settings(false), 7);
        b.listNodes(NODES);
        return b;
    }

    /** A node starts cold and another drains; each proxy is told at another time, and half of them have just started. */
    @Test
    void aColdNodeAndADrainAreHeldToThoughAllLearnApart() {
        List<RouterHarness> fleet = new ArrayList<>();
        for (int i = 0; i < PROXIES; i++) {
            fleet.add(proxy());
        }
        double origin = fleet.get(0).now;
        List<Double> toCold = new ArrayList<>();
        int next = 0;
        for (double t = 0; t < STARTS_MS + RouterHarness.RULES.warmUpMs(); t += EACH_MS) {
            for (int i = 0; i < PROXIES; i++) {
                double told = STARTS_MS + 200 * i;
                if (t >= STARTS_MS && t < STARTS_MS + EACH_MS && i % 2 == 1) {
                    RouterHarness anew = proxy();
                    anew.advance(fleet.get(i).now - anew.now);
                    fleet.set(i, anew);
                }
                RouterHarness b = fleet.get(i);
                if (t >= told && t < told + EACH_MS) {
                    b.updateNodes(RouterHarness.node("c0", origin + STARTS_MS, Availability.UP), RouterHarness.node("c1", 0, Availability.DRAINING));
                }
                String id = "p" + i + "n" + next++;
                b.router.onRequest(b.now, new Router.Request(id, "dear", null, next % 3 == 0 ? 42 : next, 0, RouterHarness.BUDGET_MS, false,
                        false), b.actions);
                if (b.sendCount(id) > 0) {
                    String node = b.nodeOf(id);
                    assertTrue(!node.equals("c1") || t < told + RouterHarness.RULES.drainGraceMs(), "sent to a drained node at " + t);
                    if (node.equals("c0") && t >= told) {
                        toCold.add(t);
                    }
                    b.endAttempt(id, Outcome.OK);
                }
                b.advance(EACH_MS);
            }
        }
        // A warm node takes what a usual one is sent at least.
        double usualPerMs = PROXIES / EACH_MS / NODES;
        for (double from = STARTS_MS; from + RouterHarness.RULES.overloadWindowMs() < STARTS_MS + RouterHarness.RULES.warmUpMs(); from += 100) {
            double begin = from;
            double until = from + RouterHarness.RULES.overloadWindowMs();
            double age = from - STARTS_MS;
            double share = RouterHarness.RULES.coldStartShare() + (1 - RouterHarness.RULES.coldStartShare()) * age / RouterHarness.RULES.warmUpMs();
            double most = RouterHarness.RULES.overloadMultiple() * share * usualPerMs * RouterHarness.RULES.overloadWindowMs();
            long sent = toCold.stream().filter(at -> at >= begin && at < until).count();
            assertTrue(sent <= most, sent + " sends to the cold node within " + RouterHarness.RULES.overloadWindowMs() + " ms from " + age + " ms on, at most " + most);
        }
        assertTrue(toCold.size() > PROXIES, "it is used: " + toCold.size());
    }

    /** Most start anew in the same moment and ask a discovery that takes 150 ms for a call and lets four wait. */
    @Test
    void aHerdThatAsksASlowDiscoveryIsServedWithoutAStormOfCalls() {
        int waitMost = 4;
        double serveMs = 150;
        RouterHarness[] herd = new RouterHarness[PROXIES];
        Arrays.setAll(herd, i -> new RouterHarness(settings(true), 1000 + i));
        boolean[] has = new boolean[PROXIES];
        int[] heard = new int[PROXIES];
        Deque<Integer> waiting = new ArrayDeque<>();
        double free = 0;
        int worstIn100Ms = 0;
        List<Double> callTimes = new ArrayList<>();
        for (double t = 0; t < 12_000; t += 5) {
            for (int i = 0; i < PROXIES; i++) {
                herd[i].advance(5);
                for (; heard[i] < herd[i].actions.subscribeCalls; heard[i]++) {
                    callTimes.add(t);
                    if (waiting.size() < waitMost) {
                        waiting.add(i);
                    } else {
                        herd[i].router.onNodeList(herd[i].now, ListUpdateKind.REFUSED, 0, List.of(), herd[i].actions);
                    }
                }
            }
            if (t >= free && !waiting.isEmpty()) {
                int served = waiting.remove();
                has[served] = true;
                free = t + serveMs;
                herd[served].router.onNodeList(herd[served].now, ListUpdateKind.FULL, 9, List.of(RouterHarness.node("c0", 0, Availability.UP)),
                        herd[served].actions);
            }
        }
        for (double from = 0; from < 12_000; from += 100) {
            double begin = from;
            worstIn100Ms = Math.max(worstIn100Ms, (int) callTimes.stream().filter(c -> c >= begin && c < begin + 100).count());
        }
        for (int i = 0; i < PROXIES; i++) {
            assertTrue(has[i], "proxy " + i + " has no list after 12 s");
        }
        assertTrue(callTimes.size() <= 4 * PROXIES, callTimes.size() + " calls");
        assertTrue(worstIn100Ms <= PROXIES / 2, worstIn100Ms + " calls in 100 ms");
        assertEquals(0, waiting.size());
    }
}
