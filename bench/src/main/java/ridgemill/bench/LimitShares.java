package ridgemill.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import ridgemill.limit.Limiter;
import ridgemill.limit.Limits;
import ridgemill.limit.LoopShare;
import ridgemill.limit.Rate;
import ridgemill.limit.ShareAllocator;

/**
 * What shares that are lent cost against one counter for all: the same arrivals, on passed-in time, at one limiter and at as
 * many as there are loops, which tell and are told at intervals. A rate, then requests in flight.
 */
public final class LimitShares {

    private static final double TICK_MS = 20;
    private static final double SECONDS = 60;
    private static final Rate RATE = new Rate(1000, 500);
    private static final int IN_FLIGHT = 200;
    private static final double HOLD_MS = 20;

    private LimitShares() {}

    /** Which loop the next request comes to, and how many come in a millisecond at this time. */
    private interface Arrivals {
        int loop(double ms, int loops, SplittableRandom random);

        default double perMs(double ms) {
            return 2;
        }
    }

    private record Case(String name, Arrivals arrivals) {}

    private static final List<Case> CASES = List.of(
            new Case("all loops alike", (ms, loops, random) -> random.nextInt(loops)),
            new Case(
                    "nine tenths at one loop",
                    (ms, loops, random) -> random.nextInt(10) == 0 ? random.nextInt(loops) : 0),
            new Case("all at one loop", (ms, loops, random) -> 0),
            new Case("all at one, another each second", (ms, loops, random) -> (int) (ms / 1000) % loops),
            new Case("all at one, another each 100 ms", (ms, loops, random) -> (int) (ms / 100) % loops),
            new Case("a burst each second, at one loop", new Arrivals() {
                @Override
                public int loop(double ms, int loops, SplittableRandom random) {
                    return (int) (ms / 1000) % loops;
                }

                @Override
                public double perMs(double ms) {
                    return ms % 1000 < 200 ? 5 : 0;
                }
            }));

    public static void main(String[] args) {
        System.out.printf(
                Locale.ROOT,
                "admitted, of what one counter for all admits of the same arrivals (%.0f s, rounds of %.0f ms, rate "
                        + "%.0f/s with a burst of %.0f; %d in flight of %.0f ms each)%n%-36s",
                SECONDS,
                TICK_MS,
                RATE.perSecond(),
                RATE.burst(),
                IN_FLIGHT,
                HOLD_MS,
                "");
        for (int loops : new int[] {2, 4, 8}) {
            System.out.printf("%14s %14s", loops + " loops: rate", "in flight");
        }
        System.out.println();
        for (Case c : CASES) {
            System.out.printf("%-36s", c.name());
            for (int loops : new int[] {2, 4, 8}) {
                System.out.printf(
                        Locale.ROOT,
                        "%14.3f %14.3f",
                        ratio(c.arrivals(), loops, rate(), 1, 0),
                        ratio(c.arrivals(), loops, inFlight(), 8, HOLD_MS));
            }
            System.out.println();
        }
    }

    private static Limits rate() {
        return new Limits(Integer.MAX_VALUE, Map.of(), Map.of(), Map.of("t", RATE), null, null);
    }

    private static Limits inFlight() {
        return new Limits(IN_FLIGHT, Map.of(), Map.of(), Map.of(), null, null);
    }

    private static double ratio(Arrivals arrivals, int loops, Limits limits, double times, double holdMs) {
        return (double) admitted(arrivals, loops, limits, times, holdMs, false)
                / admitted(arrivals, loops, limits, times, holdMs, true);
    }

    private record End(double at, int loop) {}

    private static int admitted(Arrivals arrivals, int loops, Limits limits, double times, double holdMs, boolean one) {
        SplittableRandom random = new SplittableRandom(7);
        List<Limiter> limiters = new ArrayList<>();
        for (int i = 0; i < (one ? 1 : loops); i++) {
            limiters.add(one ? new Limiter(limits, 0) : new Limiter(limits, 0, new LoopShare(i, loops)));
        }
        ShareAllocator lender = new ShareAllocator(limits, loops);
        Deque<End> out = new ArrayDeque<>();
        int got = 0;
        double owed = 0;
        for (int ms = 0; ms < SECONDS * 1000; ms++) {
            double now = ms;
            while (!out.isEmpty() && out.peek().at() <= now) {
                limiters.get(out.remove().loop()).ended(now, "read");
            }
            for (owed += times * arrivals.perMs(ms); owed >= 1; owed--) {
                int loop = arrivals.loop(ms, loops, random);
                int at = one ? 0 : loop;
                if (limiters.get(at).admit(now, "x", "t", "read", false) instanceof Limiter.Admitted) {
                    got++;
                    if (holdMs > 0) {
                        out.add(new End(now + holdMs, at));
                    }
                }
            }
            if (!one && ms % (int) TICK_MS == 0) {
                round(limiters, lender, now);
            }
        }
        return got;
    }

    /** As the gateway does: all tell, then those whose share changes take it and tell what they hold, then what is free is lent. */
    private static void round(List<Limiter> limiters, ShareAllocator lender, double now) {
        for (int i = 0; i < limiters.size(); i++) {
            lender.report(i, limiters.get(i).report(now));
        }
        for (int step = 0; step < 2; step++) {
            List<LoopShare.Grant> grants = lender.allocate();
            for (int i = 0; i < limiters.size(); i++) {
                if (grants.get(i) != null) {
                    limiters.get(i).apply(grants.get(i), now);
                    lender.reportInFlight(i, limiters.get(i).inFlightReport());
                }
            }
        }
    }
}
