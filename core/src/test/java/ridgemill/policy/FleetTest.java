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

/** Fourteen proxies in front of ten nodes, which learn of changes at different times: their combined behavior. */
class FleetTest {

    private static final int PROXIES = 14;
    private static final int NODES = 10;
    private static final double REQUEST_INTERVAL_MS = 60;
    private static final double NODE_START_MS = 20_000;

    private static Settings settings(boolean subscribe) {
        var limits = new Router.PlatformLimits(6, true, false, false, true, 500, false, 150);
        return new Settings(0, PROXIES, "z", 5, RouterHarness.serviceClasses(), List.of(), 1, false, limits,
                RouterHarness.RULES, subscribe, Router.WeightMode.NONE, "origin", Router.ConnectionCosts.FREE);
    }

    private static RouterHarness proxy() {
        RouterHarness harness = new RouterHarness(settings(false), 7);
        harness.listNodes(NODES);
        return harness;
    }

    /** A node starts cold and another one drains; each proxy learns it at another time, and half have just started. */
    @Test
    void coldNodeAndDrainRulesHoldWithDelayedUpdates() {
        List<RouterHarness> fleet = new ArrayList<>();
        for (int i = 0; i < PROXIES; i++) {
            fleet.add(proxy());
        }
        double startOfTest = fleet.get(0).now;
        List<Double> toCold = new ArrayList<>();
        int next = 0;
        for (double t = 0; t < NODE_START_MS + RouterHarness.RULES.warmUpMs(); t += REQUEST_INTERVAL_MS) {
            for (int i = 0; i < PROXIES; i++) {
                double informedAt = NODE_START_MS + 200 * i;
                if (t >= NODE_START_MS && t < NODE_START_MS + REQUEST_INTERVAL_MS && i % 2 == 1) {
                    RouterHarness restarted = proxy();
                    restarted.advance(fleet.get(i).now - restarted.now);
                    fleet.set(i, restarted);
                }
                RouterHarness harness = fleet.get(i);
                if (t >= informedAt && t < informedAt + REQUEST_INTERVAL_MS) {
                    harness.updateNodes(RouterHarness.node("c0", startOfTest + NODE_START_MS, Availability.UP),
                            RouterHarness.node("c1", 0, Availability.DRAINING));
                }
                String id = "p" + i + "n" + next++;
                harness.router.onRequest(harness.now, new Router.Request(id, "premium", null,
                        next % 3 == 0 ? 42 : next, 0, RouterHarness.BUDGET_MS, false, false), harness.actions);
                if (harness.sendCount(id) > 0) {
                    String node = harness.nodeOf(id);
                    assertTrue(!node.equals("c1") || t < informedAt + RouterHarness.RULES.drainGraceMs(),
                            "sent to a drained node at " + t);
                    if (node.equals("c0") && t >= informedAt) {
                        toCold.add(t);
                    }
                    harness.endAttempt(id, Outcome.OK);
                }
                harness.advance(REQUEST_INTERVAL_MS);
            }
        }
        // The capacity of a warm node is at least the usual load of one node.
        double usualPerMs = PROXIES / REQUEST_INTERVAL_MS / NODES;
        for (double from = NODE_START_MS;
                from + RouterHarness.RULES.overloadWindowMs() < NODE_START_MS + RouterHarness.RULES.warmUpMs();
                from += 100) {
            double begin = from;
            double until = from + RouterHarness.RULES.overloadWindowMs();
            double age = from - NODE_START_MS;
            double share = RouterHarness.RULES.coldStartShare()
                    + (1 - RouterHarness.RULES.coldStartShare()) * age / RouterHarness.RULES.warmUpMs();
            double most = RouterHarness.RULES.overloadMultiple() * share * usualPerMs
                    * RouterHarness.RULES.overloadWindowMs();
            long sent = toCold.stream().filter(at -> at >= begin && at < until).count();
            assertTrue(sent <= most, sent + " sends to the cold node within " + RouterHarness.RULES.overloadWindowMs()
                    + " ms from " + age + " ms on, at most " + most);
        }
        assertTrue(toCold.size() > PROXIES, "the cold node must be used: " + toCold.size());
    }

    /** All proxies start at once and call a service discovery that takes 150 ms per call and queues four calls. */
    @Test
    void simultaneousStartsDoNotFloodSlowDiscovery() {
        int maxWaiting = 4;
        double callMs = 150;
        RouterHarness[] proxies = new RouterHarness[PROXIES];
        Arrays.setAll(proxies, i -> new RouterHarness(settings(true), 1000 + i));
        boolean[] hasList = new boolean[PROXIES];
        int[] handledCalls = new int[PROXIES];
        Deque<Integer> waiting = new ArrayDeque<>();
        double discoveryFreeAt = 0;
        int maxCallsIn100Ms = 0;
        List<Double> callTimes = new ArrayList<>();
        for (double t = 0; t < 12_000; t += 5) {
            for (int i = 0; i < PROXIES; i++) {
                proxies[i].advance(5);
                for (; handledCalls[i] < proxies[i].actions.subscribeCalls; handledCalls[i]++) {
                    callTimes.add(t);
                    if (waiting.size() < maxWaiting) {
                        waiting.add(i);
                    } else {
                        proxies[i].router.onNodeList(proxies[i].now, ListUpdateKind.REFUSED, 0, List.of(),
                                proxies[i].actions);
                    }
                }
            }
            if (t >= discoveryFreeAt && !waiting.isEmpty()) {
                int served = waiting.remove();
                hasList[served] = true;
                discoveryFreeAt = t + callMs;
                proxies[served].router.onNodeList(proxies[served].now, ListUpdateKind.FULL, 9,
                        List.of(RouterHarness.node("c0", 0, Availability.UP)), proxies[served].actions);
            }
        }
        for (double from = 0; from < 12_000; from += 100) {
            double begin = from;
            maxCallsIn100Ms = Math.max(maxCallsIn100Ms,
                    (int) callTimes.stream().filter(c -> c >= begin && c < begin + 100).count());
        }
        for (int i = 0; i < PROXIES; i++) {
            assertTrue(hasList[i], "proxy " + i + " has no list after 12 s");
        }
        assertTrue(callTimes.size() <= 4 * PROXIES, callTimes.size() + " calls");
        assertTrue(maxCallsIn100Ms <= PROXIES / 2, maxCallsIn100Ms + " calls in 100 ms");
        assertEquals(0, waiting.size());
    }
}
