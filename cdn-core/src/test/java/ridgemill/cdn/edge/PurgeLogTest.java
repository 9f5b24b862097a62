package ridgemill.cdn.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class PurgeLogTest {

    private final PurgeLog log = new PurgeLog();
    private final CachedObject copy = new CachedObject("h/a", List.of(), null, List.of("t1", "t2"), new byte[0], 1);

    @Test
    void theLastPurgeOfACopyIsThatOfItsPathOrOfOneOfItsTags() {
        assertThat(log.lastMs(copy)).isEqualTo(Double.NEGATIVE_INFINITY);
        log.tag("t2", 5);
        log.tag("other", 9);
        assertThat(log.lastMs(copy)).isEqualTo(5);
        log.path("h/a", 7);
        assertThat(log.lastMs(copy)).isEqualTo(7);
        assertThat(log.lastMs("h/a")).isEqualTo(7);
        assertThat(log.lastMs("h/b")).isEqualTo(Double.NEGATIVE_INFINITY);
    }

    @Test
    void purgesAreRememberedAsLongAsAnotherProcessMayLagBehind() {
        log.path("h/a", 100);
        log.tag("t1", 200);
        log.forgetOld(100 + PurgeLog.MEMORY_MS);
        assertThat(log.lastMs(copy)).isEqualTo(200);
        log.forgetOld(201 + PurgeLog.MEMORY_MS);
        assertThat(log.lastMs(copy)).isEqualTo(Double.NEGATIVE_INFINITY);
    }
}
