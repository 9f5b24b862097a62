package ridgemill.cdn.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class ItemSetTest {

    private static final int SEEDS = 200;
    private static final long DIGEST = 4198466564754083658L;

    private static Item item(String name, long version, String content) {
        return new Item(new ItemName(ItemKind.ROUTE, name), version, content);
    }

    @Test
    void highestVersionWinsForItemsAndTombstones() {
        ItemSet items = new ItemSet();
        assertThat(items.merge(item("r", 5, "a"))).isTrue();
        assertThat(items.merge(item("r", 7, null))).isTrue();
        assertThat(items.merge(item("r", 6, "b"))).isFalse();
        assertThat(items.get(new ItemName(ItemKind.ROUTE, "r")).isTombstone()).isTrue();
        assertThat(items.merge(item("r", 8, "c"))).isTrue();
        assertThat(items.get(new ItemName(ItemKind.ROUTE, "r")).content()).isEqualTo("c");
    }

    @Test
    void mergeIsIndependentOfOrderAndDuplicates() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            List<Item> versions = new ArrayList<>();
            for (int i = 0; i < 30; i++) {
                // Only one content is ever decided for a name and version.
                int version = random.nextInt(6);
                int name = random.nextInt(4);
                versions.add(item("r" + name, version, (version + name) % 4 == 0 ? null : "c" + version));
            }
            ItemSet one = new ItemSet();
            one.mergeAll(versions);
            ItemSet left = new ItemSet();
            left.mergeAll(versions.subList(0, 17));
            ItemSet right = new ItemSet();
            right.mergeAll(versions.subList(10, 30));
            Collections.shuffle(versions, random);
            ItemSet other = new ItemSet();
            other.mergeAll(versions);
            other.mergeAll(versions);
            left.mergeAll(right.all());
            assertThat(List.copyOf(other.all())).as("seed %d", seed).isEqualTo(List.copyOf(one.all()));
            assertThat(List.copyOf(left.all())).as("seed %d", seed).isEqualTo(List.copyOf(one.all()));
            assertThat(other.digest()).isEqualTo(one.digest());
        }
    }

    @Test
    void digestDistinguishesSets() {
        ItemSet one = new ItemSet();
        one.merge(item("r", 1, "a"));
        ItemSet other = new ItemSet();
        other.merge(item("r", 2, "a"));
        assertThat(one.digest()).isNotEqualTo(other.digest());
    }

    /**
     * Processes compare digests, so a digest that depends on the process, such as by an identity hash code, is useless.
     */
    @Test
    void digestIsTheSameInEveryProcess() {
        ItemSet items = new ItemSet();
        items.merge(item("r", 1, "a"));
        items.merge(new Item(new ItemName(ItemKind.SERVICE, "s"), 4, null));
        assertThat(items.digest()).isEqualTo(DIGEST);
    }
}
