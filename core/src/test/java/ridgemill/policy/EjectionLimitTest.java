package ridgemill.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import ridgemill.policy.Router.Outcome;

/** However many nodes fail, only a part of them is ejected at once, so that the remaining ones are not overloaded. */
class EjectionLimitTest {

    private static final int CACHE_NODES = 6;

    @Test
    void atMostAThirdOfTheNodesIsEjectedAtOnce() {
        RouterHarness harness = RouterHarness.withCacheNodes(CACHE_NODES);
        Set<String> usedNodes = new HashSet<>();
        for (int i = 0; i < 600; i++) {
            if (i == 300) {
                usedNodes.clear();
            }
            String id = harness.request("premium", 1000 + i);
            while (harness.actions.finalAnswers(id) == 0) {
                String node = harness.nodeOf(id);
                usedNodes.add(node);
                harness.endAttempt(id, node.compareTo("c3") < 0 ? Outcome.REJECTED : Outcome.OK);
                if (harness.actions.finalAnswers(id) == 0 && node.compareTo("c3") >= 0) {
                    break;
                }
            }
        }
        assertEquals(CACHE_NODES - CACHE_NODES / 3, usedNodes.size(), usedNodes.toString());
    }
}
