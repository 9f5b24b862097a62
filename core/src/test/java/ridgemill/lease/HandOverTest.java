package ridgemill.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** A lease that is given back: to whom, when, and under which term. */
class HandOverTest {

    private static final LeasePolicy POLICY = new LeasePolicy(1000, 0.05, 100, 20);

    private record Packet(int from, int to, LeaseMessage message) { }

    private final List<Packet> net = new ArrayList<>();
    private final List<LeaseManager> members = new ArrayList<>();
    private double now;

    private void start(int count) {
        VoterSets all = new VoterSets(1, IntStream.range(0, count).boxed().toList(), List.of(), count);
        for (int i = 0; i < count; i++) {
            int self = i;
            members.add(new LeaseManager(i, 100 + i, POLICY, all, List.of("t"), i, -5 * POLICY.lengthMs(), new LeaseManager.Callbacks() {
                @Override
                public void send(int to, LeaseMessage message) {
                    net.add(new Packet(self, to, message));
                }

                @Override
                public void statusChanged(String task, String words) { }
            }));
        }
    }

    private void run(double ms) {
        for (double until = now + ms; now < until; now++) {
            for (List<Packet> came = new ArrayList<>(net); !came.isEmpty(); came = new ArrayList<>(net)) {
                net.clear();
                came.forEach(p -> members.get(p.to()).receive(now, p.from(), p.message()));
            }
            for (int i = 0; i < members.size(); i++) {
                members.get(i).tick(now);
            }
        }
    }

    private int holder() {
        List<Integer> holders = IntStream.range(0, members.size()).filter(i -> members.get(i).holds(now, "t")).boxed().toList();
        assertTrue(holders.size() <= 1, holders::toString);
        return holders.isEmpty() ? -1 : holders.get(0);
    }

    @Test
    void itGoesToTheHeirWhoeverElseAsks() {
        for (int heir = 0; heir < 5; heir++) {
            net.clear();
            members.clear();
            now = 0;
            start(5);
            run(500);
            int first = holder();
            if (heir == first) {
                continue;
            }
            long term = members.get(first).permit(now, "t", 1).orElseThrow().term();
            members.get(first).done(now, new LeaseManager.Permit("t", term, 0));
            members.get(first).release(now, "t", heir);
            assertEquals(-1, holder());
            run(10);
            assertEquals(heir, holder());
            assertTrue(members.get(heir).permit(now, "t", 1).orElseThrow().term() > term);
        }
    }

    @Test
    void itGoesToNobodyWhileAnActIsOut() {
        start(3);
        run(500);
        int first = holder();
        LeaseManager.Permit act = members.get(first).permit(now, "t", 300).orElseThrow();
        members.get(first).release(now, "t", -1);
        assertFalse(members.get(first).permit(now, "t", 1).isPresent(), "it was given up");
        run(290);
        assertEquals(-1, holder());
        members.get(first).done(now, act);
        run(300);
        assertTrue(holder() >= 0);
    }

    @Test
    void oneThatEndsLeavesItToAnotherAndAsksNoMore() {
        start(3);
        run(500);
        int first = holder();
        members.get(first).releaseAll(now);
        run(10);
        assertTrue(holder() >= 0 && holder() != first);
        for (int i = 0; i < 20; i++) {
            run(500);
            assertTrue(holder() != first);
        }
    }

    @Test
    void aTermThatAReceiverHasSeenElsewhereIsPassed() {
        start(3);
        run(500);
        int first = holder();
        long seen = 1_000_000;
        members.get(first).observeTerm(now, "t", seen);
        assertEquals(-1, holder());
        // Each that gets the lease without having heard of that term is told by who receives its act, and gives the lease up.
        for (int told = 0; told < members.size(); told++) {
            run(2000);
            int holder = holder();
            LeaseManager.Permit act = members.get(holder).permit(now, "t", 1).orElseThrow();
            members.get(holder).done(now, act);
            if (act.term() > seen) {
                return;
            }
            members.get(holder).observeTerm(now, "t", seen);
            assertEquals(-1, holder());
        }
        throw new AssertionError("all have heard of it, and none passed it");
    }

    @Test
    void nobodyHoldsWhatIsForbidden() {
        start(3);
        run(500);
        members.get((holder() + 1) % 3).forbid(now, "t", 1500);
        run(5);
        for (int i = 0; i < 14; i++) {
            assertEquals(-1, holder());
            run(100);
        }
        run(1000);
        assertTrue(holder() >= 0);
    }
}
