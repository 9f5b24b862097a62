package ridgemill.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import ridgemill.policy.Router.Outcome;

/** What a probe says of a spared node, and what it does not. */
@Timeout(20)
class ProbeTest {

    private static final int CACHES = 6;
    private final RouterHarness b = RouterHarness.withCacheNodes(CACHES);
    private int key = 1;

    /** Asks until the node c0 is asked, whose attempt ends so; returns whether it was asked at all. */
    private boolean meets(Outcome outcome) {
        for (int i = 0; i < 60; i++) {
            String id = b.request("dear", key++);
            while (b.isInFlight(id)) {
                boolean there = b.nodeOf(id).equals("c0");
                b.endAttempt(id, there ? outcome : Outcome.OK);
                if (there) {
                    while (b.isInFlight(id)) {
                        b.endAttempt(id, Outcome.OK);
                    }
                    return true;
                }
            }
        }
        return false;
    }

    private void spare(Outcome outcome) {
        for (int i = 0; i < 30 && !b.router.isExcluded(b.now, "c0"); i++) {
            meets(outcome);
        }
        assertTrue(b.router.isExcluded(b.now, "c0"));
    }

    private void probed(Outcome outcome) {
        b.router.onProbeResult(b.now, "c0", outcome, 5, Map.of(), b.actions);
    }

    @Test
    void aNodeThatAnswersIsTriedAtOnce() {
        spare(Outcome.CONNECT_FAILED);
        assertEquals(List.of("c0"), b.router.unreachableNodes(b.now));
        assertFalse(meets(Outcome.OK));
        probed(Outcome.OK);
        assertEquals(List.of(), b.router.unreachableNodes(b.now));
        assertTrue(meets(Outcome.OK));
    }

    @Test
    void nothingIsRiskedWhileItDoesNotButNotForEver() {
        spare(Outcome.CONNECT_FAILED);
        for (double t = 0; t < 2 * BalancingRouter.MAX_EJECTION_MS - BalancingRouter.EJECTION_MS; t += 100) {
            probed(Outcome.CONNECT_FAILED);
            b.advance(100);
            assertTrue(b.router.isExcluded(b.now, "c0"), "after " + t);
        }
        for (double t = 0; t < 2 * BalancingRouter.EJECTION_MS; t += 100) {
            probed(Outcome.CONNECT_FAILED);
            b.advance(100);
        }
        assertFalse(b.router.isExcluded(b.now, "c0"), "the one that probes may be cut off from it itself");
    }

    /** The one that probes reaches it, and we do not: that costs one request, and not one a probe. */
    @Test
    void aProbeIsWrongOnce() {
        spare(Outcome.CONNECT_FAILED);
        probed(Outcome.OK);
        assertTrue(meets(Outcome.CONNECT_FAILED));
        assertTrue(b.router.isExcluded(b.now, "c0"));
        for (int i = 0; i < 5; i++) {
            probed(Outcome.OK);
            assertTrue(b.router.isExcluded(b.now, "c0"));
        }
        b.advance(2 * BalancingRouter.MAX_EJECTION_MS);
        assertTrue(meets(Outcome.OK), "its time is over");
        spare(Outcome.CONNECT_FAILED);
        probed(Outcome.OK);
        assertFalse(b.router.isExcluded(b.now, "c0"), "it has answered since");
    }

    @Test
    void aNodeThatIsSilentIsJudgedByRequests() {
        spare(Outcome.TIMEOUT);
        assertEquals(List.of(), b.router.unreachableNodes(b.now));
        probed(Outcome.OK);
        assertTrue(b.router.isExcluded(b.now, "c0"));
    }

    @Test
    void aProbeSparesNothing() {
        probed(Outcome.CONNECT_FAILED);
        assertFalse(b.router.isExcluded(b.now, "c0"));
        b.router.onProbeResult(b.now, "nobody", Outcome.OK, 5, Map.of(), b.actions);
    }
}
