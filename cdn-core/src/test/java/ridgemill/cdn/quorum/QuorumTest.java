package ridgemill.cdn.quorum;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** How many replicas are needed. */
final class QuorumTest {

    @Test
    void anyReplicasThatARecoveryAsksMeetEachMajorityThatCountedTheLostOne() {
        for (int n = 2; n <= 9; n++) {
            Quorum quorum =
                    new Quorum(IntStream.range(0, n).mapToObj(Integer::toString).toList());
            int othersOfAMajority = quorum.majority() - 1;
            assertThat(quorum.recoveryAnswers() + othersOfAMajority).isGreaterThan(n - 1);
            assertThat(quorum.recoveryAnswers()).isLessThanOrEqualTo(n - 1);
            assertThat(2 * quorum.majority()).isGreaterThan(n);
            assertThat(quorum.others("0")).hasSize(n - 1).doesNotContain("0");
        }
    }
}
