package ridgemill.cdn.membership;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class FleetPositionTest {

    @ParameterizedTest
    @ValueSource(ints = {1, 9, 73, 300, 1_300})
    void sharesAddUpToTotalForAnySize(int size) {
        for (int units : new int[] {0, 1, 56, 130, 1_299, 4_000}) {
            for (int index : new int[] {0, 1, 7, 309}) {
                int sum = 0;
                for (int rank = 0; rank < size; rank++) {
                    sum += new FleetPosition(size, rank).share(units, index);
                }
                assertThat(sum).as("%d units, index %d", units, index).isEqualTo(units);
            }
        }
    }

    @Test
    void twoLimitsTogetherGiveEveryPositionAShare() {
        int size = 73;
        for (int rank = 0; rank < size; rank++) {
            FleetPosition position = new FleetPosition(size, rank);
            assertThat(position.share(50, 0) + position.share(50, 1))
                    .as("rank %d", rank)
                    .isPositive();
        }
    }

    @Test
    void sharedCachesDivideByRegionFirst() {
        List<CacheNode> caches =
                List.of(new CacheNode("a", "1", "z1"), new CacheNode("b", "2", "z2"), new CacheNode("c", "3", "z3"));
        Fleet fleet = new Fleet(FleetPosition.ALONE, caches);
        int sum = 0;
        for (CacheNode cache : caches) {
            CachePosition position = fleet.cachePosition(cache, zone -> zone.equals("z3") ? "south" : "north");
            assertThat(position.region().size()).isEqualTo(2);
            sum += position.share(25, 1);
        }
        assertThat(sum).isEqualTo(25);
        CacheNode unknown = new CacheNode("d", "4", "z3");
        assertThat(fleet.cachePosition(unknown, zone -> "one").inRegion()).isEqualTo(new FleetPosition(4, 3));
    }

    @Test
    void rankMustBeWithinSize() {
        assertThatThrownBy(() -> new FleetPosition(3, 3)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new FleetPosition(0, 0)).isInstanceOf(IllegalArgumentException.class);
    }
}
