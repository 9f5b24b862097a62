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
            ClusterSimulation simulation = simulate(seed, Mutation.NONE);
            confirmations += simulation.confirmations;
            reads += simulation.reads;
            grants += simulation.grants;
        }
        System.out.println(
                "walks=" + RUNS + " confirmations=" + confirmations + " reads=" + reads + " grants=" + grants);
        assertThat(confirmations).isGreaterThan(50L * RUNS);
        assertThat(reads).isGreaterThan(50L * RUNS);
        assertThat(grants).isGreaterThan(50L * RUNS);
    }

    private static ClusterSimulation simulate(int seed, Mutation mutation) {
        try {
            return new SimulationRun(seed, mutation, LENGTH_MS).run();
        } catch (ClusterSimulation.Violation violation) {
            throw new AssertionError("seed " + seed + ": " + violation.getMessage(), violation);
        }
    }

    @ParameterizedTest
    @EnumSource(
            mode = EnumSource.Mode.EXCLUDE,
            names = {"NONE", "OLD_EPOCH_ACCEPTED", "ANSWER_MATCHED_BY_NUMBER"})
    void everyMutationIsDetected(Mutation mutation) {
        for (int seed = 0; seed < MAX_RUNS_PER_MUTATION; seed++) {
            try {
                new SimulationRun(seed, mutation, LENGTH_MS).run();
            } catch (ClusterSimulation.NoProgress noProgress) {
                // A run without progress does not count as finding the fault.
                continue;
            } catch (ClusterSimulation.Violation violation) {
                System.out.println(
                        "mutant=" + mutation + " seed=" + seed + " broke=\"" + violation.getMessage() + "\"");
                return;
            } catch (RuntimeException exception) {
                System.out.println("mutant=" + mutation + " seed=" + seed + " failed=\"" + exception + "\"");
                return;
            }
        }
        fail("not found: " + mutation);
    }

    /**
     * A voter that is partitioned from the other stores, and an edge proxy that still uses its epoch, must not grant a
     * key together.
     */
    @ParameterizedTest
    @EnumSource(names = {"NONE", "OLD_EPOCH_ACCEPTED"})
    void keyIsNotGrantedInTwoEpochs(Mutation mutation) {
        ClusterSimulation simulation = new ClusterSimulation(5, mutation, 4, 1);
        simulation.lossRate = 0;
        simulation.run(3_000);
        VoterSet before = simulation.edgeVoters(0);
        simulation.stopUpdatesToEdge(0);
        simulation.partitionFromStores("m3");
        simulation.run(6_000);
        VoterSet after = simulation.edgeVoters(1);
        assertThat(before.addresses()).contains("m3");
        assertThat(after.addresses()).doesNotContain("m3");
        boolean found = false;
        try {
            for (int i = 0; i < 300; i++) {
                simulation.claim("key-" + i, 0);
                simulation.claim("key-" + i, 1);
                simulation.run(50);
            }
            simulation.run(2_000);
        } catch (ClusterSimulation.Violation violation) {
            found = true;
        }
        assertThat(found).isEqualTo(mutation == Mutation.OLD_EPOCH_ACCEPTED);
        assertThat(simulation.grants).isGreaterThan(0);
    }

    /** An acceptance under another ballot does not count for the state that is proposed under this one. */
    @ParameterizedTest
    @EnumSource(names = {"NONE", "ANSWER_MATCHED_BY_NUMBER"})
    void acceptanceUnderAnotherBallotIsNotCounted(Mutation mutation) {
        ClusterSimulation simulation = new ClusterSimulation(5, mutation, 3, 1);
        simulation.lossRate = 0;
        simulation.run(3_000);
        ClusterSimulation.Machine leader = simulation.leader();
        simulation.partitionFromStores(leader.address);
        ChangeResult.Outcome[] outcome = new ChangeResult.Outcome[1];
        simulation.submitAt(
                leader, List.of(ClusterSimulation.route("r", 1, "-x")), false, result -> outcome[0] = result.outcome());
        for (long revision = 0; revision < 10; revision++) {
            for (Voter voter : simulation.edgeVoters(0).voters()) {
                StateId other = new StateId(new Ballot(99, "another life"), revision);
                leader.process.receive(new AgreementMessage.Accepted(voter, other));
            }
        }
        simulation.run(2_000);
        boolean confirmed = outcome[0] == ChangeResult.Outcome.CONFIRMED;
        assertThat(confirmed).isEqualTo(mutation == Mutation.ANSWER_MATCHED_BY_NUMBER);
    }
}
