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

/** A key's node is the one that weighted rendezvous hashing names (Thaler and Ravishankar 1998), whatever is left out on the way. */
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

    /** Each node scored by itself, without a short cut. */
    private static String naive(List<Node> nodes, long key) {
        String best = null;
        double most = 0;
        for (Node n : nodes) {
            double draw = ((mix(mix(hash(n.id())) ^ mix(key)) >>> 11) + 1) * 0x1.0p-53;
            double score = -1 / Math.log(draw);
            if (score > most) {
                most = score;
                best = n.id();
            }
        }
        return best;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 40, 700})
    void aKeyGoesWhereRendezvousHashingSays(int count) {
        long seed = System.nanoTime();
        SplittableRandom random = new SplittableRandom(seed);
        List<Node> nodes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            nodes.add(RouterHarness.node("n" + random.nextInt(1_000_000) + "-" + i, 0, Availability.UP));
        }
        List<Node> all = new ArrayList<>(nodes);
        all.add(RouterHarness.origin());
        RouterHarness b = new RouterHarness(RouterHarness.settings(true, false));
        b.router.onNodeList(b.now, ListUpdateKind.FULL, 1, all, b.actions);
        int met = 0;
        for (int i = 0; i < 3000; i++) {
            b.now += 10;
            long key = random.nextLong() >>> 1;
            String id = "r" + i;
            b.actions.sentAttempts.clear();
            b.router.onRequest(b.now, new Request(id, "cheap", null, key, 0, 1000, false, false), b.actions);
            if (b.actions.sentAttempts.isEmpty()) {
                continue;
            }
            String node = b.actions.sentAttempts.get(0).node();
            assertEquals(naive(nodes, key), node, "seed " + seed + ", key " + key);
            met++;
            b.router.onAttemptEnded(b.now, new AttemptResult(id, 0, node, Outcome.OK, 1, true, 1, Map.of()), b.actions);
        }
        assertTrue(met > 1000, met + " were sent");
    }
}
