package ridgemill.cdn.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class OriginShareTest {

    private static final int WINDOW_MS = 5_000;
    private static final int END_MS = 30_000;
    private static final int MANY = 1_000;

    private static OriginShare share(double perSecond) {
        OriginShare share = new OriginShare(1.1, 5_000);
        share.setShare(perSecond, 0);
        return share;
    }

    /** Takes all that may be taken at once. */
    private static int empty(OriginShare share) {
        int taken = 0;
        while (taken < MANY && share.tryTake(0)) {
            taken++;
        }
        return taken;
    }

    /** All press at once after pauses in which their bursts fill, as one after an overload does. */
    private static int[] arrivals(double ratePerSecond, int proxies) {
        List<OriginShare> shares = new ArrayList<>();
        for (int i = 0; i < proxies; i++) {
            shares.add(share(ratePerSecond / proxies));
        }
        int[] taken = new int[END_MS];
        for (int ms = 0; ms < END_MS; ms++) {
            boolean pause = ms % 7_000 < 2_500;
            for (OriginShare share : shares) {
                while (!pause && taken[ms] < MANY && share.tryTake(ms)) {
                    taken[ms]++;
                }
            }
        }
        return taken;
    }

    private static int most(int[] taken) {
        int sum = 0;
        int most = 0;
        for (int ms = 0; ms < taken.length; ms++) {
            sum += taken[ms] - (ms < WINDOW_MS ? 0 : taken[ms - WINDOW_MS]);
            most = Math.max(most, sum);
        }
        return most;
    }

    @Test
    void allProxiesTogetherStayUnderTheCeilingInEveryWindow() {
        for (int proxies : new int[] {1, 5, 20, 60}) {
            for (double rate : new double[] {20, 90, 590}) {
                assertThat(most(arrivals(rate, proxies)))
                        .as("%d proxies, %s a second", proxies, rate)
                        .isLessThanOrEqualTo((int) (rate * 1.1 * WINDOW_MS / 1_000) + 5);
            }
        }
    }

    @Test
    void mostOfTheRateIsUsed() {
        for (double perSecond : new double[] {118, 4, 1}) {
            OriginShare share = share(perSecond);
            int taken = 0;
            for (int ms = 0; ms < 100_000; ms++) {
                taken += share.tryTake(ms) ? 1 : 0;
            }
            assertThat(taken).isGreaterThan((int) (perSecond * 100 * (perSecond > 3 ? 0.95 : 0.85)));
        }
    }

    @Test
    void whatIsUsedUpIsRefusedAtOnceWithAWait() {
        OriginShare share = share(10);
        assertThat(share.waitMs(0)).isZero();
        empty(share);
        double waitMs = share.waitMs(0);
        assertThat(waitMs).isBetween(1.0, 200.0);
        assertThat(share.tryTake(waitMs - 1)).isFalse();
        assertThat(share.tryTake(waitMs + 1)).isTrue();
    }

    @Test
    void halfOfTheBurstIsKeptForClientsWhoWait() {
        OriginShare share = share(100);
        int spare = 0;
        while (spare < MANY && share.hasBackgroundCapacity(0)) {
            assertThat(share.tryTake(0)).isTrue();
            spare++;
        }
        assertThat(spare).isPositive();
        assertThat(empty(share)).isGreaterThanOrEqualTo(spare);
        assertThat(share(1).hasBackgroundCapacity(0)).isFalse();
        assertThat(share(0).hasBackgroundCapacity(0)).isTrue();
    }

    @Test
    void whatDidNotTakePlaceIsGivenBack() {
        OriginShare share = share(10);
        empty(share);
        share.giveBack(0);
        assertThat(share.tryTake(0)).isTrue();
        assertThat(share.tryTake(0)).isFalse();
    }

    @Test
    void aShareThatGrowsBringsNoBurstAndOneThatEndsBindsNoMore() {
        OriginShare share = share(10);
        empty(share);
        share.setShare(100, 0);
        assertThat(share.tryTake(0)).isFalse();
        share.setShare(0, 0);
        for (int i = 0; i < 1_000; i++) {
            assertThat(share.tryTake(0)).isTrue();
        }
    }
}
