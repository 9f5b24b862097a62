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

    private final PurgeCoverage coverage = new PurgeCoverage();

    @Test
    void nothingIsCoveredWithoutMajority() {
        assertThat(coverage.covers(100)).isFalse();
        coverage.setVoters(VOTERS);
        coverage.streamStarted(A, 10);
        assertThat(coverage.covers(100)).isFalse();
        coverage.streamStarted(B, 20);
        assertThat(coverage.covers(100)).isTrue();
        assertThat(coverage.covers(15)).isFalse();
    }

    @Test
    void oneRestartKeepsCoverageAndSecondRestartEndsIt() {
        coverage.setVoters(VOTERS);
        coverage.streamStarted(A, 0);
        coverage.streamStarted(B, 0);
        coverage.streamStarted(C, 0);
        coverage.streamStarted(A, 50);
        assertThat(coverage.covers(10)).isTrue();
        coverage.streamStarted(B, 60);
        assertThat(coverage.covers(10)).isFalse();
        assertThat(coverage.covers(55)).isTrue();
    }

    @Test
    void nonVotingStoreDoesNotCount() {
        coverage.setVoters(VOTERS);
        coverage.streamStarted(A, 0);
        coverage.streamStarted(D, 0);
        assertThat(coverage.covers(10)).isFalse();
    }

    @Test
    void jointSetNeedsMajorityOfBothSets() {
        coverage.setVoters(VOTERS.changedTo(List.of(A, B, D)));
        coverage.streamStarted(A, 0);
        coverage.streamStarted(D, 0);
        assertThat(coverage.covers(10)).as("a majority of the new voters only").isFalse();
        coverage.streamStarted(C, 0);
        assertThat(coverage.covers(10)).isTrue();
    }

    @Test
    void machineWithNewDiskCountsAsAnotherStore() {
        coverage.setVoters(VOTERS);
        coverage.streamStarted(A, 0);
        coverage.streamStarted(new Voter("b", "2"), 0);
        assertThat(coverage.covers(10)).isFalse();
    }
}
