package ridgemill.cdn.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class ObjectCacheTest {

    private static CachedObject copy(String key, int bytes, String... tags) {
        return new CachedObject(key, List.of(), null, List.of(tags), new byte[bytes], 0);
    }

    @Test
    void leastRecentlyUsedIsEvictedFirst() {
        long each = copy("x", 1_000).sizeBytes();
        ObjectCache cache = new ObjectCache(4 * each);
        for (String key : List.of("a", "b", "c", "d")) {
            cache.put(copy(key, 1_000));
        }
        cache.get("a");
        cache.put(copy("e", 1_000));
        assertThat(cache.get("b")).isNull();
        assertThat(cache.get("a")).isNotNull();
        assertThat(cache.count()).isEqualTo(4);
    }

    @Test
    void memoryStaysWithinCapacity() {
        long capacity = 100_000;
        ObjectCache cache = new ObjectCache(capacity);
        Random random = new Random(1);
        for (int i = 0; i < 10_000; i++) {
            cache.put(copy("k" + random.nextInt(60), random.nextInt(30_000), "t" + random.nextInt(9)));
            if (i % 17 == 0) {
                cache.removeByTag("t" + random.nextInt(9), 1);
            }
            long held = 0;
            for (int k = 0; k < 60; k++) {
                CachedObject copy = cache.get("k" + k);
                held += copy == null ? 0 : copy.sizeBytes();
            }
            assertThat(cache.sizeBytes()).isEqualTo(held).isLessThanOrEqualTo(capacity);
        }
        assertThat(cache.sizeBytes()).as("most of the capacity is used").isGreaterThan(capacity / 2);
    }

    @Test
    void oversizedObjectIsNotStoredAndRemovesOlderCopy() {
        ObjectCache cache = new ObjectCache(100_000);
        cache.put(copy("a", 10));
        cache.put(copy("a", 30_000));
        assertThat(cache.get("a")).isNull();
        assertThat(cache.sizeBytes()).isZero();
    }

    @Test
    void tagRefersToNewestCopiesOnly() {
        ObjectCache cache = new ObjectCache(100_000);
        cache.put(copy("a", 10, "old", "both"));
        cache.put(copy("a", 10, "new", "both"));
        cache.put(copy("b", 10, "both"));
        cache.removeByTag("old", 1);
        assertThat(cache.count()).isEqualTo(2);
        cache.removeByTag("new", 1);
        assertThat(cache.get("a")).isNull();
        cache.removeByTag("both", 1);
        assertThat(cache.count()).isZero();
        assertThat(cache.sizeBytes()).isZero();
    }

    @Test
    void usesAreCountedPerStoredCopy() {
        ObjectCache cache = new ObjectCache(100_000);
        assertThat(cache.countUse("a")).isZero();
        cache.put(copy("a", 10));
        assertThat(cache.countUse("a")).isEqualTo(1);
        assertThat(cache.countUse("a")).isEqualTo(2);
        cache.resetUses("a");
        assertThat(cache.countUse("a")).isEqualTo(1);
        cache.put(copy("a", 10));
        assertThat(cache.countUse("a")).isEqualTo(1);
    }

    @Test
    void frequentlyUsedCopyIsDueForRefreshNearExpiry() {
        CachedObject copy = copy("a", 1);
        assertThat(copy.isDueForRefresh(900, 1_000, 8)).isTrue();
        assertThat(copy.isDueForRefresh(900, 1_000, 7)).isFalse();
        assertThat(copy.isDueForRefresh(800, 1_000, 100)).isFalse();
    }

    @Test
    void freshnessCountsFromFetchStart() {
        CachedObject copy = copy("a", 1).revalidated(1_000);
        assertThat(copy.isFresh(1_499, 500)).isTrue();
        assertThat(copy.isFresh(1_500, 500)).isFalse();
    }
}
