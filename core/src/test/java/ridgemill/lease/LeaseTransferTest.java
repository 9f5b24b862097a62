package ridgemill.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Checks to whom a released lease goes, when, and under which term. */
class LeaseTransferTest {

    private static final LeasePolicy POLICY = new LeasePolicy(1000, 0.05, 100, 20);

    private record Packet(int from, int to, LeaseMessage message) { }

    private final List<Packet> network = new ArrayList<>();
    private final List<LeaseManager> members = new ArrayList<>();
    private double now;

    private void start(int count) {
        VoterSets voterSets = new VoterSets(1, IntStream.range(0, count).boxed().toList(), List.of(), count);
        for (int i = 0; i < count; i++) {
            int self = i;
            members.add(new LeaseManager(i, 100 + i, POLICY, voterSets, List.of("t"), i, -5 * POLICY.lengthMs(),
                    new LeaseManager.Callbacks() {
                @Override
                public void send(int to, LeaseMessage message) {
                    network.add(new Packet(self, to, message));
                }

                @Override
                public void statusChanged(String task, String description) { }
            }));
        }
    }

    private void run(double ms) {
        for (double until = now + ms; now < until; now++) {
            for (List<Packet> delivered = new ArrayList<>(network); !delivered.isEmpty();
                    delivered = new ArrayList<>(network)) {
                network.clear();
                delivered.forEach(p -> members.get(p.to()).receive(now, p.from(), p.message()));
            }
            for (int i = 0; i < members.size(); i++) {
                members.get(i).tick(now);
            }
        }
    }

    private int holder() {
        List<Integer> holders = IntStream.range(0, members.size()).filter(i -> members.get(i).holds(now, "t")).boxed()
                .toList();
        assertTrue(holders.size() <= 1, holders::toString);
        return holders.isEmpty() ? -1 : holders.get(0);
    }

    @Test
    void releasedLeaseGoesToItsSuccessorOnly() {
        for (int successor = 0; successor < 5; successor++) {
            network.clear();
            members.clear();
            now = 0;
            start(5);
            run(500);
            int first = holder();
            if (successor == first) {
                continue;
            }
            long term = members.get(first).permit(now, "t", 1).orElseThrow().term();
            members.get(first).done(now, new LeaseManager.Permit("t", term, 0));
            members.get(first).release(now, "t", successor);
            assertEquals(-1, holder());
            run(10);
            assertEquals(successor, holder());
            assertTrue(members.get(successor).permit(now, "t", 1).orElseThrow().term() > term);
        }
    }

    @Test
    void releasedLeaseStaysFreeWhileAPermitIsOpen() {
        start(3);
        run(500);
        int first = holder();
        LeaseManager.Permit permit = members.get(first).permit(now, "t", 300).orElseThrow();
        members.get(first).release(now, "t", -1);
        assertFalse(members.get(first).permit(now, "t", 1).isPresent(), "the lease was released");
        run(290);
        assertEquals(-1, holder());
        members.get(first).done(now, permit);
        run(300);
        assertTrue(holder() >= 0);
    }

    @Test
    void processThatEndsTransfersItsLeaseForGood() {
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
    void nextTermExceedsATermSeenByAReceiver() {
        start(3);
        run(500);
        int first = holder();
        long seen = 1_000_000;
        members.get(first).observeTerm(now, "t", seen);
        assertEquals(-1, holder());
        // A holder that does not know the term learns it from the receiver of its action, and gives the lease up.
        for (int attempt = 0; attempt < members.size(); attempt++) {
            run(2000);
            int holder = holder();
            LeaseManager.Permit permit = members.get(holder).permit(now, "t", 1).orElseThrow();
            members.get(holder).done(now, permit);
            if (permit.term() > seen) {
                return;
            }
            members.get(holder).observeTerm(now, "t", seen);
            assertEquals(-1, holder());
        }
        throw new AssertionError("all members have seen the term and none has a higher one");
    }

    @Test
    void forbiddenLeaseHasNoHolder() {
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
