package ridgemill.loops;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class DealingTest {

    private static Dealing of(int loops, int most) {
        int[] each = new int[loops];
        Arrays.fill(each, most);
        return new Dealing(each, 0);
    }

    private static int deal(Dealing d, double now) {
        int loop = d.next(now);
        if (loop != Dealing.NONE) {
            d.opened(loop);
        }
        return loop;
    }

    @Test
    void connectionsGoRoundAndStayEvenWhoeverCloses() {
        long seed = 991;
        SplittableRandom random = new SplittableRandom(seed);
        Dealing d = of(4, 1000);
        List<Integer> there = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            there.add(deal(d, 0));
        }
        for (int i = 0; i < 4; i++) {
            assertEquals(100, d.open(i), "seed " + seed);
        }
        // All of one loop's clients leave, and as many come again.
        there.stream().filter(l -> l == 2).forEach(d::closed);
        for (int i = 0; i < 100; i++) {
            assertEquals(2, deal(d, 0));
        }
        for (int i = 0; i < 5000; i++) {
            int gone = there.set(random.nextInt(there.size()), -1);
            if (gone >= 0) {
                d.closed(gone);
                there.add(deal(d, 0));
            }
        }
        int least = Math.min(Math.min(d.open(0), d.open(1)), Math.min(d.open(2), d.open(3)));
        int most = Math.max(Math.max(d.open(0), d.open(1)), Math.max(d.open(2), d.open(3)));
        assertTrue(most - least <= 20, "seed " + seed + ": " + least + " to " + most);
    }

    @Test
    void aLoopThatRunsLateGetsNoneUntilItKeepsUpAgain() {
        Dealing d = of(3, 100);
        d.beat(1, 0, 80);
        for (int i = 0; i < 20; i++) {
            assertTrue(deal(d, 10) != 1);
        }
        d.beat(1, 20, 2);
        assertTrue(deal(d, 30) != 1, "one turn in time is no proof");
        for (int i = 0; i < 10; i++) {
            d.beat(1, 20, 2);
        }
        assertEquals(1, deal(d, 30));
    }

    @Test
    void aLoopThatIsNotHeardOfGetsNone() {
        Dealing d = of(2, 100);
        d.beat(0, 1000, 0);
        for (int i = 0; i < 10; i++) {
            assertEquals(0, deal(d, 1001));
        }
        assertEquals(1001, d.silentMs(1, 1001));
    }

    @Test
    void whereNoneKeepsUpTheFewestConnectionsDecide() {
        Dealing d = of(2, 100);
        d.beat(0, 0, 900);
        d.beat(1, 0, 900);
        d.opened(0);
        assertEquals(1, deal(d, 1));
    }

    @Test
    void aFullLoopAndARetiredOneGetNone() {
        Dealing d = of(3, 2);
        d.retire(0);
        assertTrue(d.isRetired(0));
        for (int i = 0; i < 4; i++) {
            assertTrue(deal(d, 0) > 0);
        }
        assertEquals(Dealing.NONE, d.next(0));
        d.closed(2);
        assertEquals(2, deal(d, 0));
    }

    @Test
    void aLoopMustBeAllowedAConnection() {
        assertThrows(IllegalArgumentException.class, () -> new Dealing(new int[] {1, 0}, 0));
    }
}
