package ridgemill.connections;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * A rejected proxy asks the others to release idle connections, so that more proxies than a node has connection slots
 * share them.
 */
class ConnectionReleaseRequestsTest {

    @Test
    void rejectedProxySendsARequestButNotTooOften() {
        ConnectionReleaseRequests requests = new ConnectionReleaseRequests();
        assertNotNull(requests.connectionRejected("n1", 0));
        assertNull(requests.connectionRejected("n1", 99));
        assertNotNull(requests.connectionRejected("n2", 99));
        assertNotNull(requests.connectionRejected("n1", 100));
    }

    @Test
    void requestIsForItsNodeOnlyAndNoOtherMessageIsOne() {
        byte[] request = new ConnectionReleaseRequests().connectionRejected("s-0265a7b5", 0);
        assertTrue(ConnectionReleaseRequests.isReleaseRequest(request));
        assertTrue(ConnectionReleaseRequests.isForNode(request, "s-0265a7b5"));
        assertFalse(ConnectionReleaseRequests.isForNode(request, "s-0265a7b6"));
        for (int length = 0; length <= 256; length++) {
            byte[] other = new byte[length];
            Arrays.fill(other, (byte) 'R');
            assertTrue(length == request.length || !ConnectionReleaseRequests.isReleaseRequest(other),
                    "length " + length);
            assertFalse(ConnectionReleaseRequests.isForNode(other, "s-0265a7b5"));
        }
        request[0] = 'S';
        assertFalse(ConnectionReleaseRequests.isReleaseRequest(request));
    }

    /** Fourteen proxies, a node that takes ten connections, and one request per proxy every 0.9 s on average. */
    @Test
    void noProxyIsLockedOutOfANodeWithFewerSlotsThanProxies() {
        assertTrue(highestRejectionRate(false) > 0.95,
                "without release requests some proxies are nearly always rejected");
        double rejectionRate = highestRejectionRate(true);
        assertTrue(rejectionRate < 0.25, "rejected " + rejectionRate);
    }

    private static double highestRejectionRate(boolean sendsRequests) {
        int proxies = 14;
        int capacity = 10;
        SplittableRandom random = new SplittableRandom(14);
        ConnectionReleaseRequests[] requests = new ConnectionReleaseRequests[proxies];
        Arrays.setAll(requests, i -> new ConnectionReleaseRequests());
        double[] idleSince = new double[proxies];
        boolean[] connected = new boolean[proxies];
        int[] attempts = new int[proxies];
        int[] rejected = new int[proxies];
        for (double now = 0; now < 60_000; now++) {
            for (int p = 0; p < proxies; p++) {
                if (random.nextDouble() * 900 >= 1) {
                    continue;
                }
                attempts[p]++;
                int open = 0;
                for (boolean isConnected : connected) {
                    open += isConnected ? 1 : 0;
                }
                if (connected[p] || open < capacity) {
                    connected[p] = true;
                    idleSince[p] = now;
                    continue;
                }
                rejected[p]++;
                byte[] request = requests[p].connectionRejected("n", now);
                for (int other = 0; sendsRequests && request != null && other < proxies; other++) {
                    // One datagram in ten is lost.
                    if (now - idleSince[other] >= ConnectionReleaseRequests.IDLE_THRESHOLD_MS
                            && random.nextInt(10) > 0) {
                        connected[other] = false;
                    }
                }
            }
        }
        double highest = 0;
        for (int p = 0; p < proxies; p++) {
            highest = Math.max(highest, rejected[p] / (double) attempts[p]);
        }
        return highest;
    }
}
