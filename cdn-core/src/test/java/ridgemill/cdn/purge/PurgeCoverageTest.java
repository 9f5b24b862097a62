package ridgemill.cdn.purge;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import ridgemill.cdn.quorum.Voter;
import ridgemill.cdn.quorum.VoterSet;

class PurgeCoverageTest {

    private static final Voter A = new Voter("a", "1");
    private static final Voter B = new Voter("b", "1");
    private static final Voter C = new Voter("c", "1");
    private static final Voter D = new Voter("d", "1");
    private static final VoterSet VOTERS = new VoterSet(1, List.of(A, B, C), List.of());
    private static final double MAX_UNCONFIRMED_MS = 2_000;

    private final PurgeCoverage coverage = new PurgeCoverage(MAX_UNCONFIRMED_MS);

    private void start(Voter store, double atMs) {
        coverage.streamStarted(store, atMs);
    }

    private void startAll(double atMs, Voter... stores) {
        for (Voter store : stores) {
            start(store, atMs);
        }
    }

    private void confirm(double atMs, long epoch, Voter... stores) {
        for (Voter store : stores) {
            coverage.confirmed(store, atMs, epoch);
        }
    }

    @Test
    void nothingIsCoveredWithoutMajority() {
        assertThat(coverage.covers(100, 100)).isFalse();
        coverage.setVoters(VOTERS, 0);
        start(A, 10);
        confirm(100, 1, A);
        assertThat(coverage.covers(100, 100)).isFalse();
        start(B, 20);
        assertThat(coverage.covers(100, 100)).as("B has confirmed nothing").isFalse();
        confirm(100, 1, B);
        assertThat(coverage.covers(100, 100)).isTrue();
        assertThat(coverage.covers(15, 100)).isFalse();
    }

    @Test
    void oneRestartKeepsCoverageAndSecondRestartEndsIt() {
        coverage.setVoters(VOTERS, 0);
        startAll(0, A, B, C);
        confirm(40, 1, A, B, C);
        start(A, 50);
        confirm(55, 1, A, B, C);
        assertThat(coverage.covers(10, 55)).isTrue();
        start(B, 60);
        confirm(70, 1, A, B, C);
        assertThat(coverage.confirmedUntilMs())
                .as("the latest confirmation of two old streams")
                .isEqualTo(55);
        confirm(3_000, 1, A, B, C);
        assertThat(coverage.covers(10, 3_000)).isFalse();
        assertThat(coverage.covers(55, 3_000))
                .as("A and C have been followed since 50")
                .isTrue();
    }

    @Test
    void restartsOneAfterAnotherKeepCoverageIfPurgesBetweenThemHaveBeenAcknowledged() {
        coverage.setVoters(VOTERS, 0);
        startAll(0, A, B, C);
        confirm(100, 1, A, B, C);
        for (Voter restarted : List.of(A, B, C, A, B)) {
            double atMs = coverage.confirmedUntilMs() + 1;
            start(restarted, atMs);
            confirm(atMs + Purge.ACKNOWLEDGEMENT_TIMEOUT_MS, 1, A, B, C);
        }
        assertThat(coverage.covers(10, coverage.confirmedUntilMs())).isTrue();
    }

    @Test
    void storeThatIsGoneConfirmsNothing() {
        coverage.setVoters(VOTERS, 0);
        startAll(0, A, B, C);
        confirm(100, 1, A, B);
        confirm(500, 1, B);
        assertThat(coverage.confirmedUntilMs()).isEqualTo(100);
        assertThat(coverage.covers(10, 100 + MAX_UNCONFIRMED_MS)).isTrue();
        assertThat(coverage.covers(10, 101 + MAX_UNCONFIRMED_MS)).isFalse();
        assertThat(coverage.covers(101 + MAX_UNCONFIRMED_MS, 101 + MAX_UNCONFIRMED_MS))
                .isFalse();
        confirm(9_000, 1, A, B);
        assertThat(coverage.covers(10, 9_000))
                .as("the streams have continued without a gap")
                .isTrue();
    }

    @Test
    void nonVotingStoreDoesNotCount() {
        coverage.setVoters(VOTERS, 0);
        start(A, 0);
        start(D, 0);
        confirm(100, 1, A, D);
        assertThat(coverage.covers(10, 100)).isFalse();
    }

    @Test
    void jointSetNeedsMajorityOfBothSets() {
        coverage.setVoters(VOTERS.changedTo(List.of(A, B, D)), 0);
        start(A, 0);
        start(D, 0);
        confirm(100, 2, A, D);
        assertThat(coverage.covers(10, 100))
                .as("a majority of the new voters only")
                .isFalse();
        start(C, 0);
        confirm(100, 2, C);
        assertThat(coverage.covers(10, 100)).isTrue();
    }

    @Test
    void machineWithNewDiskCountsAsAnotherStore() {
        coverage.setVoters(VOTERS, 0);
        start(A, 0);
        start(new Voter("b", "2"), 0);
        confirm(100, 1, A, new Voter("b", "2"));
        assertThat(coverage.covers(10, 100)).isFalse();
    }

    @Test
    void confirmationFromAnotherEpochDoesNotCount() {
        coverage.setVoters(VOTERS, 0);
        start(A, 0);
        start(B, 0);
        confirm(100, 1, A, B);
        confirm(200, 2, A);
        confirm(200, 1, B);
        assertThat(coverage.confirmedUntilMs())
                .as("A may already count purges of the next voters")
                .isEqualTo(100);
    }

    @Test
    void coverageContinuesThroughJointSetThatWasConfirmed() {
        VoterSet joint = VOTERS.changedTo(List.of(A, B, D));
        coverage.setVoters(VOTERS, 0);
        startAll(0, A, B, C, D);
        confirm(100, 1, A, B, C);
        coverage.setVoters(joint, 150);
        assertThat(coverage.covers(10, 150)).isTrue();
        confirm(200, 2, A, B, C, D);
        coverage.setVoters(joint.completed(), 250);
        confirm(300, 3, A, B, D);
        assertThat(coverage.covers(10, 300)).isTrue();
    }

    @Test
    void coverageStartsAnewAfterAnEpochThatWasNotConfirmed() {
        VoterSet joint = VOTERS.changedTo(List.of(A, B, D));
        coverage.setVoters(VOTERS, 0);
        startAll(0, A, B, C, D);
        confirm(100, 1, A, B, C);
        coverage.setVoters(joint, 150);
        coverage.setVoters(joint.completed(), 250);
        assertThat(coverage.covers(10, 250)).isFalse();
        confirm(300, 3, A, B, D);
        assertThat(coverage.covers(249, 300)).isFalse();
        assertThat(coverage.covers(250, 300)).isTrue();
        coverage.setVoters(joint.completed(), 180);
        confirm(3_000, 3, A, B, D);
        assertThat(coverage.covers(179, 3_000)).isFalse();
        assertThat(coverage.covers(180, 3_000))
                .as("a store had learned of the epoch earlier")
                .isTrue();
    }

    @Test
    void coverageOfAProcessThatStartsGoesBackAsFarAsHistoriesAndTheEpoch() {
        coverage.setVoters(VOTERS, 700);
        coverage.setVoters(VOTERS, 300);
        start(A, 100);
        start(B, 200);
        confirm(1_000, 1, A, B);
        assertThat(coverage.covers(299, 1_000)).isFalse();
        assertThat(coverage.covers(300, 1_000)).isTrue();
    }
}
