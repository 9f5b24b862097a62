package ridgemill.cdn.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class PurgeLogTest {

    private final PurgeLog log = new PurgeLog();
    private final CachedObject copy = new CachedObject("h/a", List.of(), null, List.of("t1", "t2"), new byte[0], 1);

    @Test
    void lastPurgeIsNewestOfPathAndTags() {
        assertThat(log.lastPurgedMs(copy)).isEqualTo(Double.NEGATIVE_INFINITY);
        log.recordTag("t2", 5);
        log.recordTag("other", 9);
        assertThat(log.lastPurgedMs(copy)).isEqualTo(5);
        log.recordPath("h/a", 7);
        assertThat(log.lastPurgedMs(copy)).isEqualTo(7);
        assertThat(log.lastPurgedMs("h/a")).isEqualTo(7);
        assertThat(log.lastPurgedMs("h/b")).isEqualTo(Double.NEGATIVE_INFINITY);
    }

    @Test
    void purgesAreKeptForRetentionTime() {
        log.recordPath("h/a", 100);
        log.recordTag("t1", 200);
        log.removeExpired(100 + PurgeLog.RETENTION_MS);
        assertThat(log.lastPurgedMs(copy)).isEqualTo(200);
        log.removeExpired(201 + PurgeLog.RETENTION_MS);
        assertThat(log.lastPurgedMs(copy)).isEqualTo(Double.NEGATIVE_INFINITY);
    }
}
