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
    void earlierPurgeCountsAlthoughALaterOneFollowed() {
        log.recordPath("h/a", 5);
        log.recordPath("h/a", 9);
        assertThat(log.isPurged(copy, 7)).as("purged at 5").isTrue();
        assertThat(log.isPurged(copy, 5)).as("purged at 5").isFalse();
        assertThat(log.isPurged(copy.revalidated(6), 7)).isFalse();
        assertThat(log.isPurged(copy.revalidated(6), 10)).as("purged at 9").isTrue();
        log.removeExpired(8 + PurgeLog.RETENTION_MS);
        assertThat(log.isPurged(copy, 7)).as("the first purge has expired").isFalse();
        assertThat(log.isPurged(copy, 10)).isTrue();
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
