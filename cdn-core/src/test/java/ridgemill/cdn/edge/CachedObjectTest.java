package ridgemill.cdn.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import ridgemill.cdn.purge.Purge;

class CachedObjectTest {

    private static CachedObject copy(double fetchStartedMs, double knownUntilMs) {
        return new CachedObject("k", List.of(), null, List.of(), new byte[0], fetchStartedMs, knownUntilMs, "");
    }

    @Test
    void copyOfASharedCacheNeedsCoverageOfPurgesThatWereNotAcknowledgedYet() {
        assertThat(copy(100, 5_000).purgeCoverageSinceMs()).isEqualTo(5_000 - Purge.ACKNOWLEDGEMENT_TIMEOUT_MS);
    }

    @Test
    void noCopyNeedsCoverageOfPurgesFromBeforeItsFetch() {
        assertThat(copy(4_900, 5_000).purgeCoverageSinceMs()).isEqualTo(4_900);
        assertThat(copy(5_000, 5_000).purgeCoverageSinceMs()).isEqualTo(5_000);
    }
}
