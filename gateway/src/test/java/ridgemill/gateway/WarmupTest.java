package ridgemill.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import ridgemill.gateway.net.Transport;

/** The warm-up runs the whole path: requests are served by its nodes, some through its origin; and it ends by itself. */
class WarmupTest {

    private static final int ROUND = 50;

    @Test
    void itsRequestsAreServedAndItEnds() throws Exception {
        try (Site site = new Site()) {
            assertTrue(Warmup.run(site.config("automatic", "60000", "").settings(), null, false) > 0);
        }
    }

    /** Its loop never rests: it has to find that its time is over without another thread's help. */
    @Test
    @Timeout(15)
    void theLoopItselfEndsIt() throws Exception {
        try (Site site = new Site()) {
            int served = Warmup.run(Transport.IN_PROCESS, site.config("automatic", "60000", "").settings(), null,
                    new WarmupStopCondition(Integer.MAX_VALUE, 1, 1));
            assertTrue(served <= 2 * ROUND, "served " + served);
        }
    }

    @Test
    void peersThatServeCutItShort() {
        WarmupStopCondition heard = new WarmupStopCondition(Integer.MAX_VALUE, 2000, 4000);
        assertFalse(heard.shouldStop(ROUND, 1999, true));
        assertTrue(heard.shouldStop(2 * ROUND, 2000, true));
        WarmupStopCondition alone = new WarmupStopCondition(Integer.MAX_VALUE, 2000, 4000);
        assertFalse(alone.shouldStop(ROUND, 2000, false));
        assertTrue(alone.shouldStop(2 * ROUND, 4000, false));
    }

    @Test
    void itEndsWhereRequestsGetNoFaster() {
        WarmupStopCondition end = WarmupStopCondition.standard();
        double[] roundMs = {400, 200, 90, 40, 20, 12, 11, 30, 12, 11};
        double elapsed = 0;
        int rounds = 0;
        for (double ms : roundMs) {
            elapsed += ms;
            rounds++;
            if (end.shouldStop(rounds * ROUND, elapsed, true)) {
                break;
            }
        }
        // The four after the fastest that was faster by a fifth; one slow round among them changes nothing.
        assertEquals(10, rounds);
    }
}
