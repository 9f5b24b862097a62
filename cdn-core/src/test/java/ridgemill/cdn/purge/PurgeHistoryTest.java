package ridgemill.cdn.purge;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PurgeHistoryTest {

    private static final Purge FIRST = Purge.ofTag("p1", "t");
    private static final Purge SECOND = Purge.ofPath("p2", "h.example", "/a");

    private final PurgeHistory history = new PurgeHistory(1_000);

    @Test
    void eachPurgeIsAddedOnce() {
        assertThat(history.add(FIRST, 1_100)).isTrue();
        assertThat(history.add(FIRST, 1_200)).isFalse();
        assertThat(history.recent(1_300)).containsExactly(new RecentPurge(FIRST, 200));
    }

    @Test
    void historyIsCompleteForItsRetentionTimeAtMost() {
        assertThat(history.completeForMs(1_500)).isEqualTo(500);
        assertThat(history.completeForMs(60_000)).isEqualTo((long) PurgeHistory.RETENTION_MS);
    }

    @Test
    void historyHasAllPurgesOfTheTimeForWhichItIsComplete() {
        history.add(FIRST, 1_100);
        history.add(SECOND, 1_200);
        double firstEndsMs = 1_100 + PurgeHistory.RETENTION_MS;
        assertThat(history.recent(firstEndsMs)).hasSize(2);
        assertThat(history.recent(firstEndsMs + 1))
                .extracting(RecentPurge::purge)
                .containsExactly(SECOND);
    }
}
