package ridgemill.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import ridgemill.policy.Router.Outcome;

/** A node that spoils every second answer never fails twice in a row; it is spared all the same. */
class ErrorEjectionTest {

    @Test
    void aNodeThatSpoilsHalfOfItsAnswersIsSpared() {
        RouterHarness b = RouterHarness.withCacheNodes(4);
        String bad = null;
        Map<Boolean, Integer> sends = new HashMap<>();
        int answers = 0;
        for (int i = 0; i < 400; i++) {
            String id = b.request("dear", 1000 + i);
            if (b.actions.finalAnswers(id) == 0) {
                String node = b.nodeOf(id);
                bad = bad == null ? node : bad;
                if (node.equals(bad)) {
                    sends.merge(i < 200, 1, Integer::sum);
                }
                b.endAttempt(id, node.equals(bad) && answers++ % 2 == 0 ? Outcome.ERROR : Outcome.OK);
                if (b.actions.finalAnswers(id) == 0) {
                    b.endAttempt(id, Outcome.OK);
                }
            }
            b.advance(2);
        }
        assertTrue(sends.getOrDefault(false, 0) * 3 < sends.get(true), sends.toString());
    }
}
