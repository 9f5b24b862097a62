package ridgemill.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import ridgemill.policy.Router.Outcome;

/** How the results of probes affect the ejection of a node. */
@Timeout(20)
class ProbeTest {

    private static final int CACHE_NODES = 6;
    private final RouterHarness harness = RouterHarness.withCacheNodes(CACHE_NODES);
    private int key = 1;

    /** Sends requests until one reaches node c0, ends that attempt with the outcome, and returns whether one did. */
    private boolean reachesNode(Outcome outcome) {
        for (int i = 0; i < 60; i++) {
            String id = harness.request("premium", key++);
            while (harness.isInFlight(id)) {
                boolean atNode = harness.nodeOf(id).equals("c0");
                harness.endAttempt(id, atNode ? outcome : Outcome.OK);
                if (atNode) {
                    while (harness.isInFlight(id)) {
                        harness.endAttempt(id, Outcome.OK);
                    }
                    return true;
                }
            }
        }
        return false;
    }

    private void ejectNode(Outcome outcome) {
        for (int i = 0; i < 30 && !harness.router.isExcluded(harness.now, "c0"); i++) {
            reachesNode(outcome);
        }
        assertTrue(harness.router.isExcluded(harness.now, "c0"));
    }

    private void reportProbe(Outcome outcome) {
        harness.router.onProbeResult(harness.now, "c0", outcome, 5, Map.of(), harness.actions);
    }

    @Test
    void nodeThatAnswersProbeIsTriedAtOnce() {
        ejectNode(Outcome.CONNECT_FAILED);
        assertEquals(List.of("c0"), harness.router.unreachableNodes(harness.now));
        assertFalse(reachesNode(Outcome.OK));
        reportProbe(Outcome.OK);
        assertEquals(List.of(), harness.router.unreachableNodes(harness.now));
        assertTrue(reachesNode(Outcome.OK));
    }

    @Test
    void failedProbesExtendEjectionUpToALimit() {
        ejectNode(Outcome.CONNECT_FAILED);
        for (double t = 0; t < 2 * BalancingRouter.MAX_EJECTION_MS - BalancingRouter.EJECTION_MS; t += 100) {
            reportProbe(Outcome.CONNECT_FAILED);
            harness.advance(100);
            assertTrue(harness.router.isExcluded(harness.now, "c0"), "after " + t);
        }
        for (double t = 0; t < 2 * BalancingRouter.EJECTION_MS; t += 100) {
            reportProbe(Outcome.CONNECT_FAILED);
            harness.advance(100);
        }
        assertFalse(harness.router.isExcluded(harness.now, "c0"), "the prober itself may be unable to reach the node");
    }

    /** If the prober reaches the node and this proxy does not, that must cost one request, not one per probe. */
    @Test
    void wrongProbeIsTrustedOnlyOnce() {
        ejectNode(Outcome.CONNECT_FAILED);
        reportProbe(Outcome.OK);
        assertTrue(reachesNode(Outcome.CONNECT_FAILED));
        assertTrue(harness.router.isExcluded(harness.now, "c0"));
        for (int i = 0; i < 5; i++) {
            reportProbe(Outcome.OK);
            assertTrue(harness.router.isExcluded(harness.now, "c0"));
        }
        harness.advance(2 * BalancingRouter.MAX_EJECTION_MS);
        assertTrue(reachesNode(Outcome.OK), "the ejection must have ended");
        ejectNode(Outcome.CONNECT_FAILED);
        reportProbe(Outcome.OK);
        assertFalse(harness.router.isExcluded(harness.now, "c0"), "the node has answered since");
    }

    @Test
    void nodeEjectedForTimeoutsIsNotRestoredByProbe() {
        ejectNode(Outcome.TIMEOUT);
        assertEquals(List.of(), harness.router.unreachableNodes(harness.now));
        reportProbe(Outcome.OK);
        assertTrue(harness.router.isExcluded(harness.now, "c0"));
    }

    @Test
    void failedProbeDoesNotEject() {
        reportProbe(Outcome.CONNECT_FAILED);
        assertFalse(harness.router.isExcluded(harness.now, "c0"));
        harness.router.onProbeResult(harness.now, "unknown", Outcome.OK, 5, Map.of(), harness.actions);
    }
}
