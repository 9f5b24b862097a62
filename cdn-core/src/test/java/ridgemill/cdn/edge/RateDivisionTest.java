package ridgemill.cdn.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import ridgemill.cdn.membership.CachePosition;
import ridgemill.cdn.membership.FleetPosition;

class RateDivisionTest {

    private static final double OVERAGE = 1.1;
    private static final int WINDOW_MS = 5_000;
    private static final int STEP_MS = 10;
    private static final int END_MS = 22_000;
    private static final RateDivision DIVISION = new RateDivision(OVERAGE, WINDOW_MS);

    private static List<OriginShare> shares(double rate, int proxies, int caches) {
        List<OriginShare> shares = new ArrayList<>();
        for (int rank = 0; rank < caches; rank++) {
            shares.add(share(DIVISION.forCache(rate, position(caches, rank))));
        }
        for (int rank = 0; rank < proxies; rank++) {
            shares.add(share(DIVISION.forProxy(rate, new FleetPosition(proxies, rank), caches > 0)));
        }
        return shares;
    }

    /** The position among shared caches, which are in two regions of unequal size if there is more than one. */
    private static CachePosition position(int caches, int rank) {
        if (caches == 1) {
            return CachePosition.ALONE;
        }
        int first = (2 * caches + 1) / 3;
        boolean inFirst = rank < first;
        return new CachePosition(
                new FleetPosition(2, inFirst ? 0 : 1),
                inFirst ? new FleetPosition(first, rank) : new FleetPosition(caches - first, rank - first));
    }

    private static OriginShare share(RateDivision.Share part) {
        OriginShare share = new OriginShare(OVERAGE, WINDOW_MS);
        share.assign(part, 0);
        return share;
    }

    /**
     * The requests sent in each step if all processes send as much as they can, with pauses in which their bursts
     * refill.
     */
    private static int[] arrivals(List<OriginShare> shares) {
        int[] taken = new int[END_MS / STEP_MS];
        for (int step = 0; step < taken.length; step++) {
            int ms = step * STEP_MS;
            boolean pause = ms % 9_000 < 3_000;
            for (OriginShare share : shares) {
                while (!pause && share.tryTake(ms)) {
                    taken[step]++;
                }
            }
        }
        return taken;
    }

    private static int maxInWindow(int[] taken) {
        int steps = WINDOW_MS / STEP_MS;
        int sum = 0;
        int max = 0;
        for (int step = 0; step < taken.length; step++) {
            sum += taken[step] - (step < steps ? 0 : taken[step - steps]);
            max = Math.max(max, sum);
        }
        return max;
    }

    @ParameterizedTest
    @CsvSource({
        "590,11,0",
        "590,11,2",
        "230,73,0",
        "230,73,2",
        "230,73,4",
        "270,62,3",
        "230,300,0",
        "230,300,6",
        "230,1300,0",
        "230,1300,20",
        "20,9,0",
        "20,9,2",
        "2,9,0",
        "2,1300,3",
        "9000,1300,80"
    })
    void allProcessesTogetherStayBelowCeilingInEveryWindow(double rate, int proxies, int caches) {
        int max = maxInWindow(arrivals(shares(rate, proxies, caches)));
        assertThat(max).isLessThanOrEqualTo((int) (OVERAGE * rate * WINDOW_MS / 1_000) + 5);
        assertThat(max).as("something may be sent").isPositive();
    }

    @ParameterizedTest
    @CsvSource({"590,11,2", "230,73,2", "270,62,3", "230,300,6", "230,1300,20", "9000,1300,80"})
    void sharedCachesReceiveMostOfRateForAnyNumberOfProxies(double rate, int proxies, int caches) {
        double sum = 0;
        for (int rank = 0; rank < caches; rank++) {
            RateDivision.Share part = DIVISION.forCache(rate, position(caches, rank));
            sum += part instanceof RateDivision.Share.Bounded bounded ? bounded.perSecond() : 0;
        }
        assertThat(sum).isGreaterThan(0.85 * rate);
    }
}
