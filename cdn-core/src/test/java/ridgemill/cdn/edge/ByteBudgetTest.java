package ridgemill.cdn.edge;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayDeque;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ByteBudgetTest {

    @Test
    void takesUpToItsCapacityAndCountsRefusals() {
        ByteBudget budget = new ByteBudget(100);
        assertThat(budget.tryTake(60)).isTrue();
        assertThat(budget.tryTake(41)).isFalse();
        assertThat(budget.tryTake(40)).isTrue();
        assertThat(budget.tryTake(Long.MAX_VALUE)).isFalse();
        assertThat(budget.tryTake(0)).isTrue();
        budget.giveBack(60);
        assertThat(budget.heldBytes()).isEqualTo(40);
        assertThat(budget.peakBytes()).isEqualTo(100);
        assertThat(budget.refusals()).isEqualTo(2);
    }

    @Test
    void moreThanWasTakenCannotBeGivenBack() {
        ByteBudget budget = new ByteBudget(100);
        assertThat(budget.tryTake(10)).isTrue();
        budget.giveBack(10);
        assertThatThrownBy(() -> budget.giveBack(10)).isInstanceOf(IllegalStateException.class);
        assertThatThrownBy(() -> budget.giveBack(-1)).isInstanceOf(IllegalStateException.class);
        assertThatThrownBy(() -> budget.tryTake(-1)).isInstanceOf(IllegalArgumentException.class);
        assertThat(budget.heldBytes()).isZero();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void neverHoldsMoreThanItsCapacityInAnyOrder(long seed) {
        Random random = new Random(seed);
        ByteBudget budget = new ByteBudget(1_000);
        ArrayDeque<Integer> taken = new ArrayDeque<>();
        for (int step = 0; step < 10_000; step++) {
            int bytes = random.nextInt(300);
            if (random.nextBoolean() && !taken.isEmpty()) {
                budget.giveBack(taken.poll());
            } else if (budget.tryTake(bytes)) {
                taken.add(bytes);
            }
            assertThat(budget.heldBytes())
                    .isEqualTo(taken.stream().mapToInt(Integer::intValue).sum())
                    .isBetween(0L, 1_000L);
        }
        taken.forEach(budget::giveBack);
        assertThat(budget.heldBytes()).isZero();
    }
}
