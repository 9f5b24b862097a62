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

/** Checks how voters are chosen and changed, and that unusable lease times are rejected. */
class VoterSetsTest {

    private static List<Integer> numbers(int count) {
        return IntStream.range(0, count).boxed().toList();
    }

    @Test
    void numberOfVotersIsFixedAndTasksAreSpreadOverAllMembers() {
        VoterSets voterSets = new VoterSets(1, numbers(100), List.of(), 5);
        Set<Integer> voters = new HashSet<>();
        for (int task = 0; task < 1000; task++) {
            assertEquals(5, voterSets.voters(LeaseManager.hash("t" + task)).size());
            voters.addAll(voterSets.voters(LeaseManager.hash("t" + task)));
        }
        assertEquals(100, voters.size());
        assertEquals(3, new VoterSets(1, numbers(3), List.of(), 5).voters(7).size());
    }

    @Test
    void removingAMemberChangesAtMostOneVoterPerTask() {
        VoterSets before = new VoterSets(1, numbers(20), List.of(), 5);
        List<Integer> remaining = new ArrayList<>(numbers(20));
        remaining.remove(Integer.valueOf(7));
        VoterSets after = new VoterSets(2, remaining, before.pool(), 5);
        for (int task = 0; task < 200; task++) {
            Set<Integer> common = new HashSet<>(before.voters(task));
            common.retainAll(after.voters(task));
            assertTrue(common.size() >= 4);
        }
    }

    @Test
    void digestDependsOnContentsButNotOnOrder() {
        VoterSets voterSets = new VoterSets(1, List.of(3, 1, 2), List.of(), 3);
        assertEquals(voterSets, new VoterSets(1, List.of(1, 2, 3), List.of(), 3));
        assertEquals(voterSets.digest(), new VoterSets(1, List.of(2, 3, 1), List.of(), 3).digest());
        assertNotEquals(voterSets.digest(), new VoterSets(1, List.of(1, 2, 4), List.of(), 3).digest());
        assertNotEquals(voterSets.digest(), new VoterSets(1, List.of(1, 2, 3), List.of(1), 3).digest());
        assertNotEquals(voterSets.digest(), new VoterSets(1, List.of(1, 2, 3), List.of(), 5).digest());
    }

    @Test
    void voterSetsThatDoNotFollowAreRejectedWithoutAChange() {
        VoterSets first = new VoterSets(3, List.of(0, 1, 2), List.of(), 3);
        LeaseManager leases = new LeaseManager(0, 1, LeasePolicy.DEFAULT, first, List.of("t"), 1, 0,
                new LeaseManager.Callbacks() {
            @Override
            public void send(int to, LeaseMessage message) { }

            @Override
            public void statusChanged(String task, String description) { }
        });
        for (VoterSets invalid : List.of(new VoterSets(2, List.of(0, 1), List.of(), 3),
                new VoterSets(3, List.of(0, 1), List.of(), 3), new VoterSets(4, List.of(0, 1), List.of(0, 1), 3))) {
            assertThrows(IllegalArgumentException.class, () -> leases.changeVoterSets(10, invalid));
            assertEquals(3, leases.voterSetsVersion());
        }
        leases.changeVoterSets(10, first);
        leases.changeVoterSets(10, new VoterSets(4, List.of(0, 1), first.pool(), 3));
        assertEquals(4, leases.voterSetsVersion());
    }

    @Test
    void policyThatLeavesAHolderTooLittleTimeIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> new LeasePolicy(1000, 0.05, 900, 50));
        assertThrows(IllegalArgumentException.class, () -> new LeasePolicy(1000, 0.3, 0, 10));
        assertThrows(IllegalArgumentException.class, () -> new LeasePolicy(0, 0, 0, 10));
        LeasePolicy policy = LeasePolicy.DEFAULT;
        assertTrue(policy.holdMs() / (1 - policy.drift()) <= policy.lengthMs(), "a slow clock's holder ends in time");
        assertTrue(policy.promiseMs() / (1 + policy.drift()) >= policy.lengthMs(),
                "a fast clock's voter waits for long enough");
    }
}
