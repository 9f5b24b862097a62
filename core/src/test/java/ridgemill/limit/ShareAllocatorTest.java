package ridgemill.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.IntSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Limits of several loops against one counter for all, on time that the test passes. */
class ShareAllocatorTest {

    private static final int LOOPS = 4;
    private static final double TICK_MS = 20;
    private static final Rate RATE = new Rate(400, 200);

    /** Loops with their limiters, and a lender to which each tells at every tick; what is told takes a while. */
    private static final class Crew {
        final List<Limiter> loops = new ArrayList<>();
        final ShareAllocator lender;
        final Deque<Runnable> onItsWay = new ArrayDeque<>();
        double now = 1000;

        Crew(Limits limits) {
            lender = new ShareAllocator(limits, LOOPS);
            for (int i = 0; i < LOOPS; i++) {
                loops.add(new Limiter(limits, now, new LoopShare(i, LOOPS)));
            }
        }

        /** What was told at one tick arrives before the next. */
        void tick() {
            while (!onItsWay.isEmpty()) {
                onItsWay.removeFirst().run();
            }
            List<LoopShare.Grant> grants = lender.allocate();
            for (int i = 0; i < LOOPS; i++) {
                Limiter loop = loops.get(i);
                LoopShare.Grant grant = grants.get(i);
                if (grant != null) {
                    onItsWay.add(() -> loop.apply(grant, now));
                }
            }
            for (int i = 0; i < LOOPS; i++) {
                int n = i;
                LoopShare.UsageReport report = loops.get(i).report(now);
                onItsWay.add(() -> lender.report(n, report));
            }
        }

        boolean asks(int loop, String id, String tenant, String service) {
            return loops.get(loop).admit(now, id, tenant, service, false) instanceof Limiter.Admitted;
        }
    }

    private static Limits rates(Map<String, Rate> tenants, Rate unknown) {
        return new Limits(Integer.MAX_VALUE, Map.of(), Map.of(), tenants, unknown, null);
    }

    /** Asks {@code perMs} a millisecond for so long at loops that are chosen, and returns what was let through. */
    private static int admitted(Crew crew, String tenant, double ms, double perMs, IntSupplier loop) {
        int got = 0;
        double owed = 0;
        double nextTick = crew.now;
        for (double end = crew.now + ms; crew.now < end; crew.now++) {
            for (owed += perMs; owed >= 1; owed--) {
                got += crew.asks(loop.getAsInt(), "x", tenant, "read") ? 1 : 0;
            }
            if (crew.now >= nextTick) {
                crew.tick();
                nextTick += TICK_MS;
            }
        }
        return got;
    }

    @ParameterizedTest
    @ValueSource(strings = {"named", "somebody"})
    void oneLoopThatIsAskedAllHasAllOfARate(String tenant) {
        Crew crew = new Crew(rates(Map.of("named", RATE), RATE));
        int got = admitted(crew, tenant, 10_000, 2, () -> 0);
        double one = RATE.burst() + 10 * RATE.perSecond();
        // The others keep a little between them, in case they are asked.
        assertTrue(got > 0.96 * one && got <= one, got + " of " + one);
    }

    @Test
    void loopsThatAreAskedAlikeHaveAllOfItTogether() {
        Crew crew = new Crew(rates(Map.of("t", RATE), null));
        int[] next = {0};
        int got = admitted(crew, "t", 10_000, 2, () -> next[0]++ % LOOPS);
        double one = RATE.burst() + 10 * RATE.perSecond();
        assertTrue(got > 0.99 * one && got <= one, got + " of " + one);
    }

    @Test
    void whereverItIsAskedTheWholeIsNeverExceeded() {
        long seed = System.nanoTime();
        SplittableRandom random = new SplittableRandom(seed);
        Crew crew = new Crew(rates(Map.of("t", RATE), null));
        double start = crew.now;
        int got = 0;
        for (int phase = 0; phase < 200; phase++) {
            int hot = random.nextInt(LOOPS);
            boolean idle = random.nextInt(4) == 0;
            got += admitted(crew, "t", 10 + random.nextInt(150), idle ? 0 : 0.3 + 3 * random.nextDouble(),
                    () -> random.nextInt(3) == 0 ? random.nextInt(LOOPS) : hot);
            double most = RATE.burst() + (crew.now - start) / 1000 * RATE.perSecond();
            assertTrue(got <= most + 1e-6, "seed " + seed + ": " + got + " where " + most + " are allowed");
        }
    }

    @Test
    void aRateThatIsNotAskedIsEvenAgainAndForgotten() {
        Crew crew = new Crew(rates(Map.of(), RATE));
        admitted(crew, "a", 1000, 2, () -> 3);
        for (int i = 0; i < 60; i++) {
            crew.now += TICK_MS;
            crew.tick();
        }
        crew.tick();
        crew.now += 5000;
        // A full bucket's even part at each.
        for (int loop = 0; loop < LOOPS; loop++) {
            int got = 0;
            while (crew.asks(loop, "x", "a", "read")) {
                got++;
            }
            assertEquals((int) RATE.burst() / LOOPS, got);
        }
    }

    @Test
    void namesWithoutNumberAreNotAllRemembered() {
        Crew crew = new Crew(rates(Map.of(), RATE));
        int[] n = {0};
        for (int i = 0; i < 20_000; i++) {
            crew.asks(i % LOOPS, "x", "made-up-" + n[0]++, "read");
            if (i % 50 == 0) {
                crew.now += TICK_MS;
                crew.tick();
                assertTrue(crew.lender.trackedRates() <= ShareAllocator.MAX_UNKNOWN_TENANTS);
            }
        }
    }

    /** Requests in flight at random loops for random times: the sum is never above the whole, and nearly all of it is used. */
    @ParameterizedTest
    @ValueSource(ints = {3, 40, 400})
    void inFlightIsNeverAboveTheWholeAndMostOfItIsUsed(int most) {
        long seed = System.nanoTime();
        SplittableRandom random = new SplittableRandom(seed);
        Limits limits = new Limits(most, Map.of("read", Math.max(1, most / 2)), Map.of(), Map.of(), null, null);
        Crew crew = new Crew(limits);
        record End(double at, int loop, String service) { }
        PriorityQueue<End> out = new PriorityQueue<>((a, b) -> Double.compare(a.at(), b.at()));
        double nextTick = crew.now;
        int reads = 0;
        long used = 0;
        long looks = 0;
        int hot = 0;
        for (int ms = 0; ms < 20_000; ms++, crew.now++) {
            while (!out.isEmpty() && out.peek().at() <= crew.now) {
                End e = out.remove();
                crew.loops.get(e.loop()).ended(crew.now, e.service());
                reads -= e.service().equals("read") ? 1 : 0;
            }
            if (ms % 2000 == 0) {
                hot = random.nextInt(LOOPS);
            }
            for (int k = 0; k < most / 10 + 2; k++) {
                int loop = random.nextInt(10) == 0 ? random.nextInt(LOOPS) : hot;
                String service = random.nextBoolean() ? "read" : "write";
                if (crew.asks(loop, "x", "t", service)) {
                    reads += service.equals("read") ? 1 : 0;
                    out.add(new End(crew.now + 5 + random.nextInt(40), loop, service));
                }
            }
            assertTrue(out.size() <= most, "seed " + seed + ": " + out.size() + " of " + most);
            assertTrue(reads <= Math.max(1, most / 2), "seed " + seed + ": " + reads + " reads");
            if (crew.now >= nextTick) {
                crew.tick();
                nextTick += TICK_MS;
            }
            if (ms % 2000 > 200) {
                used += out.size();
                looks++;
            }
        }
        double share = used / (double) looks / most;
        assertTrue(share > (most == 3 ? 0.3 : 0.8), "seed " + seed + ": " + share + " of the whole is used");
    }

    /** As the gateway's rounds go: all tell, those whose share shrinks tell what they hold, and what is free is lent at once. */
    @Test
    void whatOneLoopDoesNotNeedAnotherHasWithinAFewRounds() {
        Crew crew = new Crew(new Limits(40, Map.of(), Map.of(), Map.of(), null, null));
        int[] had = new int[2];
        for (int from = 0; from < 2; from++) {
            for (int round = 0; round < 6; round++, crew.now += TICK_MS) {
                for (int k = 0; k < 100; k++) {
                    had[from] += crew.asks(from, "x", "t", "read") ? 1 : 0;
                }
                for (int i = 0; i < LOOPS; i++) {
                    crew.lender.report(i, crew.loops.get(i).report(crew.now));
                }
                for (int step = 0; step < 2; step++) {
                    List<LoopShare.Grant> grants = crew.lender.allocate();
                    for (int i = 0; i < LOOPS; i++) {
                        if (grants.get(i) != null) {
                            crew.loops.get(i).apply(grants.get(i), crew.now);
                            crew.lender.reportInFlight(i, crew.loops.get(i).inFlightReport());
                        }
                    }
                }
            }
            assertTrue(had[from] >= 36 && had[from] <= 40, "loop " + from + " had " + had[from]);
            // Held on to, nothing of it may be lent; ended, all of it.
            assertFalse(crew.asks(1 - from, "x", "t", "read") && had[from] == 40);
            while (crew.loops.get(from).inFlight() > 0) {
                crew.loops.get(from).ended(crew.now, "read");
            }
        }
    }

    @Test
    void otherLimitsHoldForAllLoopsAndKeepTheSum() {
        Limits before = new Limits(40, Map.of(), Map.of(), Map.of("t", RATE), null, null);
        Limits next = new Limits(12, Map.of(), Map.of(), Map.of("t", new Rate(40, 20)), null, null);
        Crew crew = new Crew(before);
        admitted(crew, "t", 200, 2, () -> 1);
        crew.loops.forEach(l -> l.changeTo(next, crew.now));
        crew.lender.changeTo(next);
        int there = crew.loops.stream().mapToInt(Limiter::inFlight).sum();
        assertTrue(there <= 40);
        for (Limiter l : crew.loops) {
            while (l.inFlight() > 0) {
                l.ended(crew.now, "read");
            }
        }
        for (int i = 0; i < 20; i++) {
            crew.now += TICK_MS;
            crew.tick();
        }
        int got = admitted(crew, "t", 400, 2, () -> 2);
        assertTrue(got > 0 && got <= 12, got + " of 12");
        assertFalse(crew.asks(2, "x", "t", "read"));
    }
}
