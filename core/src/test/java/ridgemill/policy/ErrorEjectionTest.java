package ridgemill.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import ridgemill.policy.Router.Outcome;

/** A node with an error in every second answer has no consecutive failures, but must be ejected all the same. */
class ErrorEjectionTest {

    @Test
    void nodeWithErrorsInHalfOfItsAnswersIsEjected() {
        RouterHarness harness = RouterHarness.withCacheNodes(4);
        String faulty = null;
        Map<Boolean, Integer> sendsByFirstHalf = new HashMap<>();
        int answers = 0;
        for (int i = 0; i < 400; i++) {
            String id = harness.request("premium", 1000 + i);
            if (harness.actions.finalAnswers(id) == 0) {
                String node = harness.nodeOf(id);
                faulty = faulty == null ? node : faulty;
                if (node.equals(faulty)) {
                    sendsByFirstHalf.merge(i < 200, 1, Integer::sum);
                }
                harness.endAttempt(id, node.equals(faulty) && answers++ % 2 == 0 ? Outcome.ERROR : Outcome.OK);
                if (harness.actions.finalAnswers(id) == 0) {
                    harness.endAttempt(id, Outcome.OK);
                }
            }
            harness.advance(2);
        }
        assertTrue(sendsByFirstHalf.getOrDefault(false, 0) * 3 < sendsByFirstHalf.get(true),
                sendsByFirstHalf.toString());
    }
}
