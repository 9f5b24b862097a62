package ridgemill.connections;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Who is turned away calls, others hear it; and a fleet that is larger than a node's table comes to share it. */
class ConnectionReleaseRequestsTest {

    @Test
    void oneWithoutAPlaceCallsAndNotTooOften() {
        ConnectionReleaseRequests calls = new ConnectionReleaseRequests();
        assertNotNull(calls.connectionRejected("n1", 0));
        assertNull(calls.connectionRejected("n1", 99));
        assertNotNull(calls.connectionRejected("n2", 99));
        assertNotNull(calls.connectionRejected("n1", 100));
    }

    @Test
    void aCallIsForItsNodeAloneAndNoOtherMessageIsOne() {
        byte[] call = new ConnectionReleaseRequests().connectionRejected("s-0265a7b5", 0);
        assertTrue(ConnectionReleaseRequests.isReleaseRequest(call));
        assertTrue(ConnectionReleaseRequests.isForNode(call, "s-0265a7b5"));
        assertFalse(ConnectionReleaseRequests.isForNode(call, "s-0265a7b6"));
        for (int length = 0; length <= 256; length++) {
            byte[] other = new byte[length];
            Arrays.fill(other, (byte) 'R');
            assertTrue(length == call.length || !ConnectionReleaseRequests.isReleaseRequest(other), "length " + length);
            assertFalse(ConnectionReleaseRequests.isForNode(other, "s-0265a7b5"));
        }
        call[0] = 'S';
        assertFalse(ConnectionReleaseRequests.isReleaseRequest(call));
    }

    /** Fourteen proxies, a node that takes ten connections, and a request of each every 0.9 s on average. */
    @Test
    void noProxyIsKeptOutOfATableSmallerThanTheFleet() {
        assertTrue(mostTurnedAway(false) > 0.95, "without calls some proxies never get in");
        double shared = mostTurnedAway(true);
        assertTrue(shared < 0.25, "turned away " + shared);
    }

    private static double mostTurnedAway(boolean calling) {
        int proxies = 14;
        int places = 10;
        SplittableRandom random = new SplittableRandom(14);
        ConnectionReleaseRequests[] calls = new ConnectionReleaseRequests[proxies];
        Arrays.setAll(calls, i -> new ConnectionReleaseRequests());
        double[] idleSince = new double[proxies];
        boolean[] connected = new boolean[proxies];
        int[] asked = new int[proxies];
        int[] refused = new int[proxies];
        for (double now = 0; now < 60_000; now++) {
            for (int p = 0; p < proxies; p++) {
                if (random.nextDouble() * 900 >= 1) {
                    continue;
                }
                asked[p]++;
                int open = 0;
                for (boolean c : connected) {
                    open += c ? 1 : 0;
                }
                if (connected[p] || open < places) {
                    connected[p] = true;
                    idleSince[p] = now;
                    continue;
                }
                refused[p]++;
                byte[] call = calls[p].connectionRejected("n", now);
                for (int other = 0; calling && call != null && other < proxies; other++) {
                    // One datagram in ten is lost.
                    if (now - idleSince[other] >= ConnectionReleaseRequests.IDLE_THRESHOLD_MS && random.nextInt(10) > 0) {
                        connected[other] = false;
                    }
                }
            }
        }
        double most = 0;
        for (int p = 0; p < proxies; p++) {
            most = Math.max(most, refused[p] / (double) asked[p]);
        }
        return most;
    }
}
