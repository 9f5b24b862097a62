package ridgemill.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import ridgemill.policy.Router.Outcome;

/** However many nodes fail, those that are left must not be overrun: only a part is spared at once. */
class EjectionLimitTest {

    private static final int CACHES = 6;

    @Test
    void atMostAThirdOfTheNodesIsSparedAtOnce() {
        RouterHarness b = RouterHarness.withCacheNodes(CACHES);
        Set<String> asked = new HashSet<>();
        for (int i = 0; i < 600; i++) {
            if (i == 300) {
                asked.clear();
            }
            String id = b.request("dear", 1000 + i);
            while (b.actions.finalAnswers(id) == 0) {
                String node = b.nodeOf(id);
                asked.add(node);
                b.endAttempt(id, node.compareTo("c3") < 0 ? Outcome.REJECTED : Outcome.OK);
                if (b.actions.finalAnswers(id) == 0 && node.compareTo("c3") >= 0) {
                    break;
                }
            }
        }
        assertEquals(CACHES - CACHES / 3, asked.size(), asked.toString());
    }
}
