package ridgemill.cdn.purge;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class PurgeCoverageTest {

    private final PurgeCoverage coverage = new PurgeCoverage();

    @Test
    void nothingIsCoveredBeforeAMajorityIsFollowed() {
        assertThat(coverage.covers(100)).isFalse();
        coverage.setVoters(List.of("a", "b", "c"));
        coverage.restarted("a", 10);
        assertThat(coverage.covers(100)).isFalse();
        coverage.restarted("b", 20);
        assertThat(coverage.covers(100)).isTrue();
        assertThat(coverage.covers(15)).isFalse();
    }

    @Test
    void aStoreThatStartsAnewIsMadeUpForByTheOthersUntilASecondOneDoes() {
        coverage.setVoters(List.of("a", "b", "c"));
        coverage.restarted("a", 0);
        coverage.restarted("b", 0);
        coverage.restarted("c", 0);
        coverage.restarted("a", 50);
        assertThat(coverage.covers(10)).isTrue();
        coverage.restarted("b", 60);
        assertThat(coverage.covers(10)).isFalse();
        assertThat(coverage.covers(55)).isTrue();
    }

    @Test
    void aStoreThatDoesNotVoteCoversNothing() {
        coverage.setVoters(List.of("a", "b", "c"));
        coverage.restarted("a", 0);
        coverage.restarted("observer", 0);
        assertThat(coverage.covers(10)).isFalse();
    }
}
