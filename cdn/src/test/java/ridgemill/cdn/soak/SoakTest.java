package ridgemill.cdn.soak;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs short soaks with fixed seeds. {@code bench/soak} runs many seeds from the command line. */
class SoakTest {

    private static final int PROXIES = 3;
    private static final int CLIENTS = 8;
    private static final double SPAN_MS = 6_000;

    @ParameterizedTest
    @ValueSource(longs = {7, 21})
    void noRuleIsViolatedUnderOverlappingFaults(long seed) throws Exception {
        Soak.Result result = new Soak(seed, PROXIES, CLIENTS, SPAN_MS).run();
        assertThat(result.violations()).as("%s", result).isEmpty();
        assertThat(result.served()).as("served after the troubles").isPositive();
    }
}
