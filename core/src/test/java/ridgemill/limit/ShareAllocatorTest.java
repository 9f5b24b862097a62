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

/** The limits of several event loops against one common counter, on simulated time. */
class ShareAllocatorTest {

    private static final int LOOPS = 4;
    private static final double TICK_MS = 20;
    private static final Rate RATE = new Rate(400, 200);

    /**
     * Event loops with their limiters, and an allocator to which each reports at every tick; messages arrive with a
     * delay.
     */
    private static final class LoopGroup {
        final List<Limiter> loops = new ArrayList<>();
        final ShareAllocator allocator;
        final Deque<Runnable> inTransit = new ArrayDeque<>();
        double now = 1000;

        LoopGroup(Limits limits) {
            allocator = new ShareAllocator(limits, LOOPS);
            for (int i = 0; i < LOOPS; i++) {
                loops.add(new Limiter(limits, now, new LoopShare(i, LOOPS)));
            }
        }

        /** Messages sent at one tick arrive before the next. */
        void tick() {
            while (!inTransit.isEmpty()) {
                inTransit.removeFirst().run();
            }
            List<LoopShare.Grant> grants = allocator.allocate();
            for (int i = 0; i < LOOPS; i++) {
                Limiter loop = loops.get(i);
                LoopShare.Grant grant = grants.get(i);
                if (grant != null) {
                    inTransit.add(() -> loop.apply(grant, now));
                }
            }
            for (int i = 0; i < LOOPS; i++) {
                int n = i;
                LoopShare.UsageReport report = loops.get(i).report(now);
                inTransit.add(() -> allocator.report(n, report));
            }
        }

        boolean admits(int loop, String id, String tenant, String service) {
            return loops.get(loop).admit(now, id, tenant, service, false) instanceof Limiter.Admitted;
        }
    }

    private static Limits rates(Map<String, Rate> tenants, Rate unknown) {
        return new Limits(Integer.MAX_VALUE, Map.of(), Map.of(), tenants, unknown, null);
    }

    /**
     * Sends {@code perMs} requests a millisecond for {@code ms} to the chosen loops, and returns how many were
     * admitted.
     */
    private static int admitted(LoopGroup group, String tenant, double ms, double perMs, IntSupplier loop) {
        int admitted = 0;
        double pending = 0;
        double nextTick = group.now;
        for (double end = group.now + ms; group.now < end; group.now++) {
            for (pending += perMs; pending >= 1; pending--) {
                admitted += group.admits(loop.getAsInt(), "x", tenant, "read") ? 1 : 0;
            }
            if (group.now >= nextTick) {
                group.tick();
                nextTick += TICK_MS;
            }
        }
        return admitted;
    }

    @ParameterizedTest
    @ValueSource(strings = {"named", "somebody"})
    void onlyActiveLoopGetsTheWholeRate(String tenant) {
        LoopGroup group = new LoopGroup(rates(Map.of("named", RATE), RATE));
        int admitted = admitted(group, tenant, 10_000, 2, () -> 0);
        double whole = RATE.burst() + 10 * RATE.perSecond();
        // The other loops keep a small part, in case they become active.
        assertTrue(admitted > 0.96 * whole && admitted <= whole, admitted + " of " + whole);
    }

    @Test
    void equallyLoadedLoopsGetTheWholeRateTogether() {
        LoopGroup group = new LoopGroup(rates(Map.of("t", RATE), null));
        int[] next = {0};
        int admitted = admitted(group, "t", 10_000, 2, () -> next[0]++ % LOOPS);
        double whole = RATE.burst() + 10 * RATE.perSecond();
        assertTrue(admitted > 0.99 * whole && admitted <= whole, admitted + " of " + whole);
    }

    @Test
    void wholeRateIsNeverExceededHoweverTheLoadMoves() {
        long seed = System.nanoTime();
        SplittableRandom random = new SplittableRandom(seed);
        LoopGroup group = new LoopGroup(rates(Map.of("t", RATE), null));
        double start = group.now;
        int admitted = 0;
        for (int phase = 0; phase < 200; phase++) {
            int hot = random.nextInt(LOOPS);
            boolean idle = random.nextInt(4) == 0;
            admitted += admitted(group, "t", 10 + random.nextInt(150), idle ? 0 : 0.3 + 3 * random.nextDouble(),
                    () -> random.nextInt(3) == 0 ? random.nextInt(LOOPS) : hot);
            double most = RATE.burst() + (group.now - start) / 1000 * RATE.perSecond();
            assertTrue(admitted <= most + 1e-6, "seed " + seed + ": " + admitted + " where " + most + " are allowed");
        }
    }

    @Test
    void idleRateIsEvenAgainAndForgotten() {
        LoopGroup group = new LoopGroup(rates(Map.of(), RATE));
        admitted(group, "a", 1000, 2, () -> 3);
        for (int i = 0; i < 60; i++) {
            group.now += TICK_MS;
            group.tick();
        }
        group.tick();
        group.now += 5000;
        // Each loop has its even part of a full bucket.
        for (int loop = 0; loop < LOOPS; loop++) {
            int admitted = 0;
            while (group.admits(loop, "x", "a", "read")) {
                admitted++;
            }
            assertEquals((int) RATE.burst() / LOOPS, admitted);
        }
    }

    @Test
    void numberOfTrackedNamesIsBounded() {
        LoopGroup group = new LoopGroup(rates(Map.of(), RATE));
        int[] n = {0};
        for (int i = 0; i < 20_000; i++) {
            group.admits(i % LOOPS, "x", "made-up-" + n[0]++, "read");
            if (i % 50 == 0) {
                group.now += TICK_MS;
                group.tick();
                assertTrue(group.allocator.trackedRates() <= ShareAllocator.MAX_UNKNOWN_TENANTS);
            }
        }
    }

    /**
     * Requests in flight at random loops for random times: their sum never exceeds the whole, and most of it is used.
     */
    @ParameterizedTest
    @ValueSource(ints = {3, 40, 400})
    void inFlightNeverExceedsTheWholeAndMostOfItIsUsed(int most) {
        long seed = System.nanoTime();
        SplittableRandom random = new SplittableRandom(seed);
        Limits limits = new Limits(most, Map.of("read", Math.max(1, most / 2)), Map.of(), Map.of(), null, null);
        LoopGroup group = new LoopGroup(limits);
        record End(double at, int loop, String service) { }
        PriorityQueue<End> out = new PriorityQueue<>((a, b) -> Double.compare(a.at(), b.at()));
        double nextTick = group.now;
        int reads = 0;
        long used = 0;
        long samples = 0;
        int hot = 0;
        for (int ms = 0; ms < 20_000; ms++, group.now++) {
            while (!out.isEmpty() && out.peek().at() <= group.now) {
                End e = out.remove();
                group.loops.get(e.loop()).ended(group.now, e.service());
                reads -= e.service().equals("read") ? 1 : 0;
            }
            if (ms % 2000 == 0) {
                hot = random.nextInt(LOOPS);
            }
            for (int k = 0; k < most / 10 + 2; k++) {
                int loop = random.nextInt(10) == 0 ? random.nextInt(LOOPS) : hot;
                String service = random.nextBoolean() ? "read" : "write";
                if (group.admits(loop, "x", "t", service)) {
                    reads += service.equals("read") ? 1 : 0;
                    out.add(new End(group.now + 5 + random.nextInt(40), loop, service));
                }
            }
            assertTrue(out.size() <= most, "seed " + seed + ": " + out.size() + " of " + most);
            assertTrue(reads <= Math.max(1, most / 2), "seed " + seed + ": " + reads + " reads");
            if (group.now >= nextTick) {
                group.tick();
                nextTick += TICK_MS;
            }
            if (ms % 2000 > 200) {
                used += out.size();
                samples++;
            }
        }
        double share = used / (double) samples / most;
        assertTrue(share > (most == 3 ? 0.3 : 0.8), "seed " + seed + ": " + share + " of the whole is used");
    }

    /**
     * Like the gateway's rounds: all loops report, those with a smaller share report what they hold, and the rest is
     * granted.
     */
    @Test
    void unusedShareMovesToAnotherLoopWithinAFewRounds() {
        LoopGroup group = new LoopGroup(new Limits(40, Map.of(), Map.of(), Map.of(), null, null));
        int[] admittedBy = new int[2];
        for (int from = 0; from < 2; from++) {
            for (int round = 0; round < 6; round++, group.now += TICK_MS) {
                for (int k = 0; k < 100; k++) {
                    admittedBy[from] += group.admits(from, "x", "t", "read") ? 1 : 0;
                }
                for (int i = 0; i < LOOPS; i++) {
                    group.allocator.report(i, group.loops.get(i).report(group.now));
                }
                for (int step = 0; step < 2; step++) {
                    List<LoopShare.Grant> grants = group.allocator.allocate();
                    for (int i = 0; i < LOOPS; i++) {
                        if (grants.get(i) != null) {
                            group.loops.get(i).apply(grants.get(i), group.now);
                            group.allocator.reportInFlight(i, group.loops.get(i).inFlightReport());
                        }
                    }
                }
            }
            assertTrue(admittedBy[from] >= 36 && admittedBy[from] <= 40, "loop " + from + " had " + admittedBy[from]);
            // None of it may be granted to others while it is in flight.
            assertFalse(group.admits(1 - from, "x", "t", "read") && admittedBy[from] == 40);
            while (group.loops.get(from).inFlight() > 0) {
                group.loops.get(from).ended(group.now, "read");
            }
        }
    }

    @Test
    void changedLimitsApplyToAllLoopsAndKeepTheSum() {
        Limits before = new Limits(40, Map.of(), Map.of(), Map.of("t", RATE), null, null);
        Limits next = new Limits(12, Map.of(), Map.of(), Map.of("t", new Rate(40, 20)), null, null);
        LoopGroup group = new LoopGroup(before);
        admitted(group, "t", 200, 2, () -> 1);
        group.loops.forEach(l -> l.changeTo(next, group.now));
        group.allocator.changeTo(next);
        int inFlight = group.loops.stream().mapToInt(Limiter::inFlight).sum();
        assertTrue(inFlight <= 40);
        for (Limiter l : group.loops) {
            while (l.inFlight() > 0) {
                l.ended(group.now, "read");
            }
        }
        for (int i = 0; i < 20; i++) {
            group.now += TICK_MS;
            group.tick();
        }
        int admitted = admitted(group, "t", 400, 2, () -> 2);
        assertTrue(admitted > 0 && admitted <= 12, admitted + " of 12");
        assertFalse(group.admits(2, "x", "t", "read"));
    }
}
