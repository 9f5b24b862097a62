package ridgemill.cdn.agreement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.fail;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import ridgemill.cdn.quorum.Voter;
import ridgemill.cdn.quorum.VoterSet;

/**
 * Random simulation runs of the stores under faults. {@code -Dwalks=N} sets the number of runs, {@code -Dfirst=N} the
 * first seed.
 */
class ClusterSimulationTest {

    private static final int RUNS = Integer.getInteger("walks", 120);
    private static final int FIRST_SEED = Integer.getInteger("first", 0);
    private static final double LENGTH_MS = 40_000;
    private static final int MAX_RUNS_PER_MUTATION = 400;

    @Test
    void confirmedChangesAndGrantsSurviveRandomFaults() {
        long confirmations = 0;
        long reads = 0;
        long grants = 0;
        for (int seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed++) {
            ClusterSimulation world = simulate(seed, Mutation.NONE);
            confirmations += world.confirmations;
            reads += world.reads;
            grants += world.grants;
        }
        System.out.println(
                "walks=" + RUNS + " confirmations=" + confirmations + " reads=" + reads + " grants=" + grants);
        assertThat(confirmations).isGreaterThan(50L * RUNS);
        assertThat(reads).isGreaterThan(50L * RUNS);
        assertThat(grants).isGreaterThan(50L * RUNS);
    }

    private static ClusterSimulation simulate(int seed, Mutation mutant) {
        try {
            return new SimulationRun(seed, mutant, LENGTH_MS).run();
        } catch (ClusterSimulation.Violation broken) {
            throw new AssertionError("seed " + seed + ": " + broken.getMessage(), broken);
        }
    }

    @ParameterizedTest
    @EnumSource(
            mode = EnumSource.Mode.EXCLUDE,
            names = {"NONE", "OLD_EPOCH_ACCEPTED", "ANSWER_MATCHED_BY_NUMBER"})
    void everyMutationIsDetected(Mutation mutant) {
        for (int seed = 0; seed < MAX_RUNS_PER_MUTATION; seed++) {
            try {
                new SimulationRun(seed, mutant, LENGTH_MS).run();
            } catch (ClusterSimulation.NoProgress notTheFault) {
                continue;
            } catch (ClusterSimulation.Violation found) {
                System.out.println("mutant=" + mutant + " seed=" + seed + " broke=\"" + found.getMessage() + "\"");
                return;
            } catch (RuntimeException found) {
                System.out.println("mutant=" + mutant + " seed=" + seed + " failed=\"" + found + "\"");
                return;
            }
        }
        fail("not found: " + mutant);
    }

    /**
     * A voter that is partitioned from the other stores, and an edge proxy that still uses its epoch, must not grant a
     * key together.
     */
    @ParameterizedTest
    @EnumSource(names = {"NONE", "OLD_EPOCH_ACCEPTED"})
    void keyIsNotGrantedInTwoEpochs(Mutation mutant) {
        ClusterSimulation world = new ClusterSimulation(5, mutant, 4, 1);
        world.lossRate = 0;
        world.run(3_000);
        VoterSet before = world.edgeVoters(0);
        world.stopUpdatesToEdge(0);
        world.partitionFromStores("m3");
        world.run(6_000);
        VoterSet after = world.edgeVoters(1);
        assertThat(before.addresses()).contains("m3");
        assertThat(after.addresses()).doesNotContain("m3");
        boolean found = false;
        try {
            for (int i = 0; i < 300; i++) {
                world.claim("key-" + i, 0);
                world.claim("key-" + i, 1);
                world.run(50);
            }
            world.run(2_000);
        } catch (ClusterSimulation.Violation twice) {
            found = true;
        }
        assertThat(found).isEqualTo(mutant == Mutation.OLD_EPOCH_ACCEPTED);
        assertThat(world.grants).isGreaterThan(0);
    }

    /** An acceptance under another ballot does not count for the state that is proposed under this one. */
    @ParameterizedTest
    @EnumSource(names = {"NONE", "ANSWER_MATCHED_BY_NUMBER"})
    void acceptanceUnderAnotherBallotIsNotCounted(Mutation mutant) {
        ClusterSimulation world = new ClusterSimulation(5, mutant, 3, 1);
        world.lossRate = 0;
        world.run(3_000);
        ClusterSimulation.Machine leader = world.leader();
        world.partitionFromStores(leader.address);
        ChangeResult.Outcome[] outcome = new ChangeResult.Outcome[1];
        world.submitAt(
                leader, List.of(ClusterSimulation.route("r", 1, "-x")), false, result -> outcome[0] = result.outcome());
        for (long revision = 0; revision < 10; revision++) {
            for (Voter voter : world.edgeVoters(0).voters()) {
                StateId other = new StateId(new Ballot(99, "another life"), revision);
                leader.process.receive(new AgreementMessage.Accepted(voter, other));
            }
        }
        world.run(2_000);
        boolean confirmed = outcome[0] == ChangeResult.Outcome.CONFIRMED;
        assertThat(confirmed).isEqualTo(mutant == Mutation.ANSWER_MATCHED_BY_NUMBER);
    }
}
