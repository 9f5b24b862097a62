package ridgemill.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ridgemill.policy.Router.AttemptResult;
import ridgemill.policy.Router.Availability;
import ridgemill.policy.Router.ListUpdateKind;
import ridgemill.policy.Router.Node;
import ridgemill.policy.Router.Outcome;
import ridgemill.policy.Router.Request;

/**
 * A key is sent to the top node of weighted rendezvous hashing (Thaler and Ravishankar 1998), although the router skips
 * the score of most nodes.
 */
class PlacementTest {

    private static long mix(long z) {
        long a = (z ^ (z >>> 33)) * 0xff51afd7ed558ccdL;
        long b = (a ^ (a >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return b ^ (b >>> 33);
    }

    private static long hash(String text) {
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * 0x100000001b3L;
        }
        return h;
    }

    /** Computes the score of every node, without skipping any. */
    private static String topNode(List<Node> nodes, long key) {
        String best = null;
        double bestScore = 0;
        for (Node n : nodes) {
            double draw = ((mix(mix(hash(n.id())) ^ mix(key)) >>> 11) + 1) * 0x1.0p-53;
            double score = -1 / Math.log(draw);
            if (score > bestScore) {
                bestScore = score;
                best = n.id();
            }
        }
        return best;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 40, 700})
    void keyGoesToTopNodeOfRendezvousHashing(int count) {
        long seed = System.nanoTime();
        SplittableRandom random = new SplittableRandom(seed);
        List<Node> nodes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            nodes.add(RouterHarness.node("n" + random.nextInt(1_000_000) + "-" + i, 0, Availability.UP));
        }
        List<Node> withOrigin = new ArrayList<>(nodes);
        withOrigin.add(RouterHarness.origin());
        RouterHarness harness = new RouterHarness(RouterHarness.settings(true, false));
        harness.router.onNodeList(harness.now, ListUpdateKind.FULL, 1, withOrigin, harness.actions);
        int sent = 0;
        for (int i = 0; i < 3000; i++) {
            harness.now += 10;
            long key = random.nextLong() >>> 1;
            String id = "r" + i;
            harness.actions.sentAttempts.clear();
            harness.router.onRequest(harness.now, new Request(id, "basic", null, key, 0, 1000, false, false),
                    harness.actions);
            if (harness.actions.sentAttempts.isEmpty()) {
                continue;
            }
            String node = harness.actions.sentAttempts.get(0).node();
            assertEquals(topNode(nodes, key), node, "seed " + seed + ", key " + key);
            sent++;
            harness.router.onAttemptEnded(harness.now,
                    new AttemptResult(id, 0, node, Outcome.OK, 1, true, 1, Map.of()), harness.actions);
        }
        assertTrue(sent > 1000, sent + " were sent");
    }
}
