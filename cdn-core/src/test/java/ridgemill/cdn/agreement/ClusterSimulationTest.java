package ridgemill.cdn.agreement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.fail;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import ridgemill.cdn.quorum.Voter;
import ridgemill.cdn.quorum.VoterSet;

/** Random courses of the control side under losses; {@code -Dwalks=N -Dfirst=N} plays others and more of them. */
class ClusterSimulationTest {

    private static final int WALKS = Integer.getInteger("walks", 120);
    private static final int FIRST = Integer.getInteger("first", 0);
    private static final double LENGTH_MS = 40_000;
    private static final int MUTANT_WALKS = 400;

    @Test
    void nothingThatWasConfirmedIsLostOrDoubledWhateverIsLost() {
        long confirmations = 0;
        long reads = 0;
        long grants = 0;
        for (int seed = FIRST; seed < FIRST + WALKS; seed++) {
            ClusterSimulation world = play(seed, Mutation.NONE);
            confirmations += world.confirmations;
            reads += world.reads;
            grants += world.grants;
        }
        System.out.println(
                "walks=" + WALKS + " confirmations=" + confirmations + " reads=" + reads + " grants=" + grants);
        assertThat(confirmations).isGreaterThan(50L * WALKS);
        assertThat(reads).isGreaterThan(50L * WALKS);
        assertThat(grants).isGreaterThan(50L * WALKS);
    }

    private static ClusterSimulation play(int seed, Mutation mutant) {
        try {
            return new SimulationRun(seed, mutant, LENGTH_MS).run();
        } catch (ClusterSimulation.Broken broken) {
            throw new AssertionError("seed " + seed + ": " + broken.getMessage(), broken);
        }
    }

    @ParameterizedTest
    @EnumSource(
            mode = EnumSource.Mode.EXCLUDE,
            names = {"NONE", "OLD_EPOCH_ACCEPTED", "ANSWER_MATCHED_BY_NUMBER"})
    void eachMutantIsFound(Mutation mutant) {
        for (int seed = 0; seed < MUTANT_WALKS; seed++) {
            try {
                new SimulationRun(seed, mutant, LENGTH_MS).run();
            } catch (ClusterSimulation.Stuck notTheFault) {
                continue;
            } catch (ClusterSimulation.Broken found) {
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
     * A voter that was cut off from the other stores, and an edge proxy that still counts on it, decide nothing
     * together.
     */
    @ParameterizedTest
    @EnumSource(names = {"NONE", "OLD_EPOCH_ACCEPTED"})
    void noKeyIsGrantedInTwoEpochs(Mutation mutant) {
        ClusterSimulation world = new ClusterSimulation(5, mutant, 4, 1);
        world.lossShare = 0;
        world.run(3_000);
        VoterSet before = world.edgeVoters(0);
        world.edgeHearsNothing(0);
        world.cutFromStores("m3");
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
        } catch (ClusterSimulation.Broken twice) {
            found = true;
        }
        assertThat(found).isEqualTo(mutant == Mutation.OLD_EPOCH_ACCEPTED);
        assertThat(world.grants).isGreaterThan(0);
    }

    /** What was accepted under another ballot says nothing of the state that is proposed under this one. */
    @ParameterizedTest
    @EnumSource(names = {"NONE", "ANSWER_MATCHED_BY_NUMBER"})
    void anAnswerThatBelongsToAnotherBallotDoesNotCount(Mutation mutant) {
        ClusterSimulation world = new ClusterSimulation(5, mutant, 3, 1);
        world.lossShare = 0;
        world.run(3_000);
        ClusterSimulation.Machine leader = world.leader();
        world.cutFromStores(leader.address);
        ChangeResult.Outcome[] outcome = new ChangeResult.Outcome[1];
        world.orderAt(
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
