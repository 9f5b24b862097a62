package ridgemill.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Who votes on what, and that times make sense. */
class ElectoratesTest {

    private static List<Integer> numbers(int count) {
        return IntStream.range(0, count).boxed().toList();
    }

    @Test
    void aTaskHasAsManyVotersHoweverLargeTheTierAndTasksAreSpread() {
        VoterSets of100 = new VoterSets(1, numbers(100), List.of(), 5);
        Set<Integer> all = new HashSet<>();
        for (int task = 0; task < 1000; task++) {
            assertEquals(5, of100.voters(LeaseManager.hash("t" + task)).size());
            all.addAll(of100.voters(LeaseManager.hash("t" + task)));
        }
        assertEquals(100, all.size());
        assertEquals(3, new VoterSets(1, numbers(3), List.of(), 5).voters(7).size());
    }

    @Test
    void aMemberThatGoesTakesAtMostItsOwnPlaceWithIt() {
        VoterSets with = new VoterSets(1, numbers(20), List.of(), 5);
        List<Integer> rest = new ArrayList<>(numbers(20));
        rest.remove(Integer.valueOf(7));
        VoterSets without = new VoterSets(2, rest, with.pool(), 5);
        for (int task = 0; task < 200; task++) {
            Set<Integer> kept = new HashSet<>(with.voters(task));
            kept.retainAll(without.voters(task));
            assertTrue(kept.size() >= 4);
        }
    }

    @Test
    void theOrderInAFileMakesNoDifferenceAndItsContentsDo() {
        VoterSets a = new VoterSets(1, List.of(3, 1, 2), List.of(), 3);
        assertEquals(a, new VoterSets(1, List.of(1, 2, 3), List.of(), 3));
        assertEquals(a.digest(), new VoterSets(1, List.of(2, 3, 1), List.of(), 3).digest());
        assertNotEquals(a.digest(), new VoterSets(1, List.of(1, 2, 4), List.of(), 3).digest());
        assertNotEquals(a.digest(), new VoterSets(1, List.of(1, 2, 3), List.of(1), 3).digest());
        assertNotEquals(a.digest(), new VoterSets(1, List.of(1, 2, 3), List.of(), 5).digest());
    }

    @Test
    void electoratesThatCannotFollowAreRefusedAndNothingChanges() {
        VoterSets first = new VoterSets(3, List.of(0, 1, 2), List.of(), 3);
        LeaseManager leases = new LeaseManager(0, 1, LeasePolicy.DEFAULT, first, List.of("t"), 1, 0, new LeaseManager.Callbacks() {
            @Override
            public void send(int to, LeaseMessage message) { }

            @Override
            public void statusChanged(String task, String words) { }
        });
        for (VoterSets bad : List.of(new VoterSets(2, List.of(0, 1), List.of(), 3), new VoterSets(3, List.of(0, 1), List.of(), 3),
                new VoterSets(4, List.of(0, 1), List.of(0, 1), 3))) {
            assertThrows(IllegalArgumentException.class, () -> leases.changeVoterSets(10, bad));
            assertEquals(3, leases.voterSetsVersion());
        }
        leases.changeVoterSets(10, first);
        leases.changeVoterSets(10, new VoterSets(4, List.of(0, 1), first.pool(), 3));
        assertEquals(4, leases.voterSetsVersion());
    }

    @Test
    void timesThatLeaveNoneToActAreRefused() {
        assertThrows(IllegalArgumentException.class, () -> new LeasePolicy(1000, 0.05, 900, 50));
        assertThrows(IllegalArgumentException.class, () -> new LeasePolicy(1000, 0.3, 0, 10));
        assertThrows(IllegalArgumentException.class, () -> new LeasePolicy(0, 0, 0, 10));
        LeasePolicy usual = LeasePolicy.DEFAULT;
        assertTrue(usual.holdMs() / (1 - usual.drift()) <= usual.lengthMs(), "a slow clock's holder ends in time");
        assertTrue(usual.promiseMs() / (1 + usual.drift()) >= usual.lengthMs(), "a fast clock's voter waits for long enough");
    }
}
