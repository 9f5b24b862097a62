package ridgemill.cdn.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RetryBudgetTest {

    private static final double WINDOW_MS = 10_000;

    private static int takeAll(RetryBudget budget, double nowMs, int proxies) {
        int taken = 0;
        while (taken < 1_000 && budget.tryRetry(nowMs, proxies)) {
            taken++;
        }
        return taken;
    }

    @Test
    void onlySlackIsAvailableWithoutRequests() {
        assertThat(takeAll(new RetryBudget(0.2, 50, WINDOW_MS), 0, 1)).isBetween(25, 50);
        assertThat(takeAll(new RetryBudget(0.2, 50, WINDOW_MS), 0, 10)).isBetween(2, 5);
        assertThat(takeAll(new RetryBudget(0.2, 0, WINDOW_MS), 0, 1)).isZero();
    }

    @Test
    void takenRetriesReturnAfterFullWindow() {
        RetryBudget budget = new RetryBudget(0, 20, WINDOW_MS);
        int all = takeAll(budget, 0, 1);
        assertThat(all).isPositive();
        assertThat(takeAll(budget, WINDOW_MS, 1)).isZero();
        assertThat(takeAll(budget, WINDOW_MS * 1.06, 1)).isEqualTo(all);
        assertThat(takeAll(budget, WINDOW_MS * 1.5, 1)).isZero();
        assertThat(takeAll(budget, WINDOW_MS * 9, 1)).as("after a long pause").isEqualTo(all);
    }

    @Test
    void requestsCountForOneWindow() {
        RetryBudget budget = new RetryBudget(0.2, 0, WINDOW_MS);
        for (int i = 0; i < 100; i++) {
            budget.countRequest(0);
        }
        assertThat(budget.tryRetry(WINDOW_MS * 0.9, 1)).isTrue();
        assertThat(budget.tryRetry(WINDOW_MS, 1)).isFalse();
    }

    @Test
    void returnedRetryCanBeTakenOnce() {
        RetryBudget budget = new RetryBudget(0, 20, WINDOW_MS);
        takeAll(budget, 0, 1);
        budget.giveBack(0);
        assertThat(takeAll(budget, 0, 1)).isEqualTo(1);
        for (int i = 0; i < 100; i++) {
            budget.giveBack(WINDOW_MS * 3);
        }
        assertThat(takeAll(budget, WINDOW_MS * 3, 1))
                .as("returns beyond the taken retries add nothing")
                .isEqualTo(14);
    }

    /** With uneven and changing loads, the sum stays within the limit in every window at any offset. */
    @Test
    void allProxiesTogetherStayWithinLimit() {
        double ratio = 0.2;
        double slack = 50;
        int proxies = 7;
        for (int seed = 0; seed < 20; seed++) {
            Random random = new Random(seed);
            List<RetryBudget> budgets = new ArrayList<>();
            for (int i = 0; i < proxies; i++) {
                budgets.add(new RetryBudget(ratio, slack, WINDOW_MS));
            }
            int steps = 600;
            double stepMs = 100;
            int[] requests = new int[steps];
            int[] retries = new int[steps];
            for (int step = 0; step < steps; step++) {
                double load = step / 100 % 2 == 0 ? 0.6 : 0.1;
                for (int i = 0; i < proxies; i++) {
                    for (int tries = 0; tries < 10; tries++) {
                        double nowMs = (step + random.nextDouble() * 0.001) * stepMs + i;
                        if (random.nextDouble() < load / (1 + i)) {
                            budgets.get(i).countRequest(nowMs);
                            requests[step]++;
                        }
                        retries[step] += budgets.get(i).tryRetry(nowMs, proxies) ? 1 : 0;
                    }
                }
            }
            int window = (int) (WINDOW_MS / stepMs);
            int all = 0;
            for (int end = 2 * window; end <= steps; end++) {
                int sent = sum(retries, end - window, end);
                int counted = Math.max(
                        sum(requests, end - window, end),
                        Math.max(
                                sum(requests, end - 3 * window / 2, end - window / 2),
                                sum(requests, end - 2 * window, end - window)));
                assertThat((double) sent)
                        .as("seed %d, window to step %d", seed, end)
                        .isLessThanOrEqualTo(ratio * counted + slack);
                all += sent;
            }
            assertThat(all).as("some retries were taken").isPositive();
        }
    }

    private static int sum(int[] counts, int from, int to) {
        int sum = 0;
        for (int i = from; i < to; i++) {
            sum += counts[i];
        }
        return sum;
    }

    /** The fixed slack is divided without a minimum: the shares stay within the total for any number of proxies. */
    @ParameterizedTest
    @ValueSource(ints = {1, 9, 73, 300, 1_300})
    void slackOfAllProxiesStaysWithinTotal(int size) {
        double slack = 186;
        int taken = 0;
        for (int process = 0; process < size; process++) {
            taken += takeAll(new RetryBudget(0.2, slack, 10_000), 0, size);
        }
        assertThat(taken).isLessThanOrEqualTo((int) slack);
    }
}
