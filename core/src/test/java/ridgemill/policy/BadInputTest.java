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
        Bench b = Bench.withCaches(2);
        b.router.onNodeList(b.now, ListUpdateKind.FULL, -5, List.of(Bench.node("c0", 0, Availability.UP),
                Bench.node("c0", 0, Availability.DRAINING), Bench.node("c1", 0, Availability.UP), Bench.origin()),
                b.out);
        for (int key = 0; key < 20; key++) {
            b.end(b.ask("dear", key), Outcome.OK);
        }
        assertEquals(0, b.out.sentTo("c0"));
        b.change(Bench.node("c0", b.now, Availability.UP));
        for (int key = 0; key < 50; key++) {
            b.end(b.ask("dear", key), Outcome.OK);
            b.advance(100);
        }
        assertTrue(b.out.sentTo("c0") > 0, "it is back under its name");
    }

    @Test
    void absurdWeightsDoNotShutANodeOut() {
        var s = Bench.settings(true, false);
        Bench b = new Bench(new Router.Settings(0, 2, "z", 5, s.classes(), List.of(), 1, false, s.limits(), s.rules(),
                false, Router.WeightMode.SIZE, "origin"));
        b.change(Bench.origin(), weighted("c0", 0), weighted("c1", -3), weighted("c2", Double.NaN),
                weighted("c3", Double.POSITIVE_INFINITY), weighted("c4", 1e300));
        for (int key = 0; key < 200; key++) {
            b.end(b.ask("dear", key), Outcome.OK);
        }
        for (int i = 0; i < 5; i++) {
            assertTrue(b.out.sentTo("c" + i) > 10, "c" + i);
        }
    }

    @Test
    void eventsForUnknownRequestsNodesAndTimersAreIgnored() {
        Bench b = Bench.withCaches(2);
        int before = b.out.log.size();
        b.router.onAttemptEnded(b.now, new AttemptResult("no", 0, "nowhere", Outcome.OK, 5, true, 0, Map.of()), b.out);
        b.router.onAttemptEnded(b.now, new AttemptResult("no", 3, "c0", Outcome.MISS, Double.NaN, false, 9,
                Map.of("backlog", Double.NaN)), b.out);
        b.router.onClientDisconnected(b.now, "no", b.out);
        b.router.onStreamStarted(b.now, "no", 0, "c0", b.out);
        b.router.onTimer(b.now, "rno", b.out);
        b.router.onTimer(b.now, "whatever", b.out);
        b.router.onProbeResult(b.now, "nowhere", Outcome.ERROR, -1, Map.of(), b.out);
        b.router.onPeerMessage(b.now, 99, new byte[300], b.out);
        assertEquals(before, b.out.log.size());
        assertEquals(1, b.sendsOf(b.ask("dear", 1)));
    }

    @Test
    void aJumpOfTheClockLosesNoRequest() {
        Bench b = Bench.withCaches(2);
        String id = b.ask("dear", 1);
        b.now += 60_000;
        b.router.onTimer(b.now, "r" + id, b.out);
        b.router.onTimer(b.now, "step", b.out);
        assertEquals(1, b.out.answers(id));
        assertEquals(1, b.sendsOf(b.ask("dear", 2)));
    }

    @Test
    void anUnknownClassIsTreatedAsTheMostCareful() {
        Bench b = Bench.withCaches(2);
        String id = b.ask("never heard of", 1, true);
        b.end(id, Outcome.ERROR);
        assertEquals(1, b.sendsOf(id));
        assertEquals(List.of(id), b.out.failed);
    }

    private static Node weighted(String id, double weight) {
        return new Node(id, "cache", "z", 0, weight, 0, Availability.UP);
    }
}
