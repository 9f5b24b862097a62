package ridgemill.cdn.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class OriginShareTest {

    private static final int WINDOW_MS = 5_000;
    private static final int END_MS = 30_000;
    private static final int MAX_REQUESTS = 1_000;

    private static OriginShare share(double perSecond) {
        OriginShare share = new OriginShare(1.1, 5_000);
        share.setShare(perSecond, 0);
        return share;
    }

    /** Takes all requests that the share allows at once. Returns their number. */
    private static int takeAll(OriginShare share) {
        int taken = 0;
        while (taken < MAX_REQUESTS && share.tryTake(0)) {
            taken++;
        }
        return taken;
    }

    /**
     * The requests sent in each millisecond if all proxies send as much as they can, with pauses in which their bursts
     * refill, as after an overload.
     */
    private static int[] arrivals(double ratePerSecond, int proxies) {
        List<OriginShare> shares = new ArrayList<>();
        for (int i = 0; i < proxies; i++) {
            shares.add(share(ratePerSecond / proxies));
        }
        int[] sent = new int[END_MS];
        for (int ms = 0; ms < END_MS; ms++) {
            boolean pause = ms % 7_000 < 2_500;
            for (OriginShare share : shares) {
                while (!pause && sent[ms] < MAX_REQUESTS && share.tryTake(ms)) {
                    sent[ms]++;
                }
            }
        }
        return sent;
    }

    private static int maxInWindow(int[] sent) {
        int sum = 0;
        int max = 0;
        for (int ms = 0; ms < sent.length; ms++) {
            sum += sent[ms] - (ms < WINDOW_MS ? 0 : sent[ms - WINDOW_MS]);
            max = Math.max(max, sum);
        }
        return max;
    }

    @Test
    void allProxiesTogetherStayBelowCeilingInEveryWindow() {
        for (int proxies : new int[] {1, 5, 20, 60}) {
            for (double rate : new double[] {20, 90, 590}) {
                assertThat(maxInWindow(arrivals(rate, proxies)))
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
    void usedUpShareRefusesWithWait() {
        OriginShare share = share(10);
        assertThat(share.waitMs(0)).isZero();
        takeAll(share);
        double waitMs = share.waitMs(0);
        assertThat(waitMs).isBetween(1.0, 200.0);
        assertThat(share.tryTake(waitMs - 1)).isFalse();
        assertThat(share.tryTake(waitMs + 1)).isTrue();
    }

    @Test
    void halfOfBurstIsReservedForClients() {
        OriginShare share = share(100);
        int background = 0;
        while (background < MAX_REQUESTS && share.hasBackgroundCapacity(0)) {
            assertThat(share.tryTake(0)).isTrue();
            background++;
        }
        assertThat(background).isPositive();
        assertThat(takeAll(share)).isGreaterThanOrEqualTo(background);
        assertThat(share(1).hasBackgroundCapacity(0)).isFalse();
        assertThat(share(0).hasBackgroundCapacity(0)).isTrue();
    }

    @Test
    void returnedRequestCanBeTakenAgain() {
        OriginShare share = share(10);
        takeAll(share);
        share.giveBack(0);
        assertThat(share.tryTake(0)).isTrue();
        assertThat(share.tryTake(0)).isFalse();
    }

    @Test
    void raisedShareAddsNoBurstAndRemovedShareDoesNotLimit() {
        OriginShare share = share(10);
        takeAll(share);
        share.setShare(100, 0);
        assertThat(share.tryTake(0)).isFalse();
        share.setShare(0, 0);
        for (int i = 0; i < 1_000; i++) {
            assertThat(share.tryTake(0)).isTrue();
        }
    }
}
