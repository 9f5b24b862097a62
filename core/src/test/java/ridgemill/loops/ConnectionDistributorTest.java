package ridgemill.loops;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Which event loop a new connection goes to. */
class ConnectionDistributorTest {

    private static ConnectionDistributor distributor(int loops, int maxOpen) {
        int[] limits = new int[loops];
        Arrays.fill(limits, maxOpen);
        return new ConnectionDistributor(limits, 0);
    }

    private static int assign(ConnectionDistributor distributor, double now) {
        int loop = distributor.nextLoop(now);
        if (loop != ConnectionDistributor.NONE) {
            distributor.connectionOpened(loop);
        }
        return loop;
    }

    @Test
    void connectionsStayBalancedWhicheverClose() {
        long seed = 991;
        SplittableRandom random = new SplittableRandom(seed);
        ConnectionDistributor distributor = distributor(4, 1000);
        List<Integer> loopOfConnection = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            loopOfConnection.add(assign(distributor, 0));
        }
        for (int i = 0; i < 4; i++) {
            assertEquals(100, distributor.openConnections(i), "seed " + seed);
        }
        // All connections of one loop close, and as many new ones are opened.
        loopOfConnection.stream().filter(l -> l == 2).forEach(distributor::connectionClosed);
        for (int i = 0; i < 100; i++) {
            assertEquals(2, assign(distributor, 0));
        }
        for (int i = 0; i < 5000; i++) {
            int loop = loopOfConnection.set(random.nextInt(loopOfConnection.size()), -1);
            if (loop >= 0) {
                distributor.connectionClosed(loop);
                loopOfConnection.add(assign(distributor, 0));
            }
        }
        int min = Math.min(Math.min(distributor.openConnections(0), distributor.openConnections(1)),
                Math.min(distributor.openConnections(2), distributor.openConnections(3)));
        int max = Math.max(Math.max(distributor.openConnections(0), distributor.openConnections(1)),
                Math.max(distributor.openConnections(2), distributor.openConnections(3)));
        assertTrue(max - min <= 20, "seed " + seed + ": " + min + " to " + max);
    }

    @Test
    void lateLoopGetsNoConnectionUntilItKeepsUpAgain() {
        ConnectionDistributor distributor = distributor(3, 100);
        distributor.reportDelay(1, 0, 80);
        for (int i = 0; i < 20; i++) {
            assertTrue(assign(distributor, 10) != 1);
        }
        distributor.reportDelay(1, 20, 2);
        assertTrue(assign(distributor, 30) != 1, "one report in time is not enough");
        for (int i = 0; i < 10; i++) {
            distributor.reportDelay(1, 20, 2);
        }
        assertEquals(1, assign(distributor, 30));
    }

    @Test
    void silentLoopGetsNoConnection() {
        ConnectionDistributor distributor = distributor(2, 100);
        distributor.reportDelay(0, 1000, 0);
        for (int i = 0; i < 10; i++) {
            assertEquals(0, assign(distributor, 1001));
        }
        assertEquals(1001, distributor.sinceLastReportMs(1, 1001));
    }

    @Test
    void fewestConnectionsDecideIfNoLoopKeepsUp() {
        ConnectionDistributor distributor = distributor(2, 100);
        distributor.reportDelay(0, 0, 900);
        distributor.reportDelay(1, 0, 900);
        distributor.connectionOpened(0);
        assertEquals(1, assign(distributor, 1));
    }

    @Test
    void fullAndRetiredLoopsGetNoConnection() {
        ConnectionDistributor distributor = distributor(3, 2);
        distributor.retire(0);
        assertTrue(distributor.isRetired(0));
        for (int i = 0; i < 4; i++) {
            assertTrue(assign(distributor, 0) > 0);
        }
        assertEquals(ConnectionDistributor.NONE, distributor.nextLoop(0));
        distributor.connectionClosed(2);
        assertEquals(2, assign(distributor, 0));
    }

    @Test
    void connectionLimitMustBeAtLeastOne() {
        assertThrows(IllegalArgumentException.class, () -> new ConnectionDistributor(new int[] {1, 0}, 0));
    }
}
