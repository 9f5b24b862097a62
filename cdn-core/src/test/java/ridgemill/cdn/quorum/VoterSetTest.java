package ridgemill.cdn.quorum;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Quorums, exhaustively for all sets of up to six stores. */
final class VoterSetTest {

    private static final int STORES = 6;

    private static final List<Voter> ALL = IntStream.range(0, STORES)
            .mapToObj(i -> new Voter("10.0.0." + i, "d"))
            .toList();

    private static List<Voter> votersOf(int mask) {
        List<Voter> voters = new ArrayList<>();
        for (int i = 0; i < STORES; i++) {
            if ((mask & 1 << i) != 0) {
                voters.add(ALL.get(i));
            }
        }
        return voters;
    }

    private static boolean hasQuorum(VoterSet voters, int agreeing) {
        Set<Voter> agreeingVoters = Set.copyOf(votersOf(agreeing));
        return voters.hasQuorum(agreeingVoters::contains);
    }

    @Test
    void quorumIsMoreThanHalf() {
        for (int mask = 1; mask < 1 << STORES; mask++) {
            VoterSet voters = new VoterSet(1, votersOf(mask), List.of());
            for (int agreeing = 0; agreeing < 1 << STORES; agreeing++) {
                int count = Integer.bitCount(mask & agreeing);
                assertThat(hasQuorum(voters, agreeing)).isEqualTo(2 * count > Integer.bitCount(mask));
            }
        }
    }

    /**
     * Every quorum of the epoch before a change intersects every quorum of the joint epoch, and those every one of the
     * next.
     */
    @Test
    void quorumsOfAdjacentEpochsIntersect() {
        for (int before = 1; before < 1 << STORES; before++) {
            for (int after = 1; after < 1 << STORES; after += 5) {
                VoterSet first = new VoterSet(1, votersOf(before), List.of());
                VoterSet joint = first.changedTo(votersOf(after));
                VoterSet last = joint.isJoint() ? joint.completed() : joint;
                for (int agreeing = 0; agreeing < 1 << STORES; agreeing++) {
                    if (hasQuorum(joint, agreeing)) {
                        int others = ~agreeing & (1 << STORES) - 1;
                        assertThat(hasQuorum(first, others)).isFalse();
                        assertThat(hasQuorum(last, others)).isFalse();
                        assertThat(hasQuorum(joint, others)).isFalse();
                    }
                }
            }
        }
    }

    @Test
    void abandonedChangeReturnsToBaseVoters() {
        VoterSet first = new VoterSet(4, votersOf(0b000111), List.of());
        VoterSet joint = first.changedTo(votersOf(0b001011));
        assertThat(joint.addedVoters()).containsExactlyElementsOf(votersOf(0b001000));
        VoterSet other = joint.changedTo(votersOf(0b010011));
        assertThat(other.previous()).isEqualTo(votersOf(0b000111));
        VoterSet restored = other.changedTo(votersOf(0b000111));
        assertThat(restored.isJoint()).isFalse();
        assertThat(restored.epoch()).isEqualTo(7);
    }

    @Test
    void machineWithNewDiskIsAnotherVoter() {
        VoterSet voters = new VoterSet(1, votersOf(0b000111), List.of());
        assertThat(voters.contains(new Voter("10.0.0.1", "new"))).isFalse();
        assertThat(voters.addresses().stream().collect(Collectors.toSet())).contains("10.0.0.1");
    }
}
