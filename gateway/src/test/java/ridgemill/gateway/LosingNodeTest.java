package ridgemill.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** A node that answers quickly but lets two requests in a row vanish keeps its keys, and is waited for less long. */
class LosingNodeTest {

    private static final int BUDGET_S = 5;
    private static final int AIM_MS = 2000;
    /** Less than a first attempt's usual part of the client's time, and more than the short time. */
    private static final double BETWEEN_S = 2;

    @Test
    void lostRequestsAreRepeatedSoonAndSpareNoNode() throws Exception {
        Map<Integer, AtomicInteger> losses = new ConcurrentHashMap<>();
        Fleet.Script losing = (request, n) -> {
            AtomicInteger left = losses.get(request.wire().socket().getLocalPort());
            if (left == null || left.getAndDecrement() <= 0) {
                Fleet.answer(request);
            }
        };
        try (Fleet fleet = new Fleet(4, losing, Fleet.answering(), BUDGET_S, AIM_MS)) {
            Map<Integer, String> nodeOf = new HashMap<>();
            for (int key = 0; key < Fleet.KEYS; key++) {
                assertEquals(200, fleet.read());
                nodeOf.put(key, fleet.nodesOf.get(fleet.lastId()).get(0));
            }
            String node = nodeOf.get(0);
            assertTrue(fleet.lastBudget.get(node) > BETWEEN_S);
            losses.put(Integer.valueOf(node.split(":")[1]), new AtomicInteger(2));
            int seen = 0;
            for (int key = 0; key < Fleet.KEYS; key++) {
                assertEquals(200, fleet.read(), "repeated elsewhere");
                if (nodeOf.get(key).equals(node)) {
                    assertEquals(node, fleet.nodesOf.get(fleet.lastId()).get(0), "key " + key + ", use " + seen);
                    assertTrue(seen++ != 1 || fleet.lastBudget.get(node) < BETWEEN_S, "waits as long after a loss");
                }
            }
            assertTrue(seen > 2);
        }
    }
}
