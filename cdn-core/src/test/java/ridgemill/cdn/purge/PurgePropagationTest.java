package ridgemill.cdn.purge;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Random walks of purges, stores and caches under disturbances; {@link PurgePropagationSimulation} judges them. */
class PurgePropagationTest {

    private static final int WALKS = 150;
    private static final double DURATION_MS = 60_000;

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void cacheKnowsEachAcknowledgedPurgeOfTheSpanThatItClaims(boolean changesVoters) {
        long claims = 0;
        for (long seed = 1; seed <= WALKS; seed++) {
            PurgePropagationSimulation simulation = new PurgePropagationSimulation(seed, changesVoters);
            assertThat(simulation.run(DURATION_MS)).as("seed %d", seed).isEmpty();
            claims += simulation.claims();
        }
        assertThat(claims).as("claims that were checked").isGreaterThan(100L * WALKS);
    }
}
