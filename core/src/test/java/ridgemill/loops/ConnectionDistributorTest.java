package ridgemill.loops;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ConnectionDistributorTest {

    private static ConnectionDistributor of(int loops, int most) {
        int[] each = new int[loops];
        Arrays.fill(each, most);
        return new ConnectionDistributor(each, 0);
    }

    private static int deal(ConnectionDistributor d, double now) {
        int loop = d.nextLoop(now);
        if (loop != ConnectionDistributor.NONE) {
            d.connectionOpened(loop);
        }
        return loop;
    }

    @Test
    void connectionsGoRoundAndStayEvenWhoeverCloses() {
        long seed = 991;
        SplittableRandom random = new SplittableRandom(seed);
        ConnectionDistributor d = of(4, 1000);
        List<Integer> there = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            there.add(deal(d, 0));
        }
        for (int i = 0; i < 4; i++) {
            assertEquals(100, d.openConnections(i), "seed " + seed);
        }
        // All of one loop's clients leave, and as many come again.
        there.stream().filter(l -> l == 2).forEach(d::connectionClosed);
        for (int i = 0; i < 100; i++) {
            assertEquals(2, deal(d, 0));
        }
        for (int i = 0; i < 5000; i++) {
            int gone = there.set(random.nextInt(there.size()), -1);
            if (gone >= 0) {
                d.connectionClosed(gone);
                there.add(deal(d, 0));
            }
        }
        int least = Math.min(Math.min(d.openConnections(0), d.openConnections(1)), Math.min(d.openConnections(2), d.openConnections(3)));
        int most = Math.max(Math.max(d.openConnections(0), d.openConnections(1)), Math.max(d.openConnections(2), d.openConnections(3)));
        assertTrue(most - least <= 20, "seed " + seed + ": " + least + " to " + most);
    }

    @Test
    void aLoopThatRunsLateGetsNoneUntilItKeepsUpAgain() {
        ConnectionDistributor d = of(3, 100);
        d.reportDelay(1, 0, 80);
        for (int i = 0; i < 20; i++) {
            assertTrue(deal(d, 10) != 1);
        }
        d.reportDelay(1, 20, 2);
        assertTrue(deal(d, 30) != 1, "one turn in time is no proof");
        for (int i = 0; i < 10; i++) {
            d.reportDelay(1, 20, 2);
        }
        assertEquals(1, deal(d, 30));
    }

    @Test
    void aLoopThatIsNotHeardOfGetsNone() {
        ConnectionDistributor d = of(2, 100);
        d.reportDelay(0, 1000, 0);
        for (int i = 0; i < 10; i++) {
            assertEquals(0, deal(d, 1001));
        }
        assertEquals(1001, d.sinceLastReportMs(1, 1001));
    }

    @Test
    void whereNoneKeepsUpTheFewestConnectionsDecide() {
        ConnectionDistributor d = of(2, 100);
        d.reportDelay(0, 0, 900);
        d.reportDelay(1, 0, 900);
        d.connectionOpened(0);
        assertEquals(1, deal(d, 1));
    }

    @Test
    void aFullLoopAndARetiredOneGetNone() {
        ConnectionDistributor d = of(3, 2);
        d.retire(0);
        assertTrue(d.isRetired(0));
        for (int i = 0; i < 4; i++) {
            assertTrue(deal(d, 0) > 0);
        }
        assertEquals(ConnectionDistributor.NONE, d.nextLoop(0));
        d.connectionClosed(2);
        assertEquals(2, deal(d, 0));
    }

    @Test
    void aLoopMustBeAllowedAConnection() {
        assertThrows(IllegalArgumentException.class, () -> new ConnectionDistributor(new int[] {1, 0}, 0));
    }
}
