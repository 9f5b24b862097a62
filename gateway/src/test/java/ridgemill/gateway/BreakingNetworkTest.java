package ridgemill.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Connections that break everywhere alike are the network's doing: neither the origin nor a node is judged by them. */
class BreakingNetworkTest {

    /** Intervals until shares are learned and the level may rise, and until it has risen as far as it goes. */
    private static final int LEARNED = 3;
    private static final int PLAYED = 10;
    /** Requests that do the same on a slow machine, where an interval has few. */
    private static final int ENOUGH = 500;

    /** Breaks so many requests in a row of every ten. */
    private static Fleet.Script breaking(int inARow) {
        return (request, n) -> {
            if (n % 10 < inARow) {
                request.wire().close();
            } else {
                Fleet.answer(request);
            }
        };
    }

    @Test
    void breaksEverywhereDoNotThrottleAndAreRepeatedAtTheSameNode() throws Exception {
        try (Fleet fleet = new Fleet(4, breaking(1), breaking(1))) {
            int repeated = 0;
            for (int i = 0; fleet.steps() < PLAYED || i < 2 * ENOUGH; i++) {
                fleet.write();
                assertTrue(fleet.nodesOf.containsKey(fleet.lastId()), "a write was refused unsent");
                int read = fleet.read();
                List<String> nodes = fleet.nodesOf.get(fleet.lastId());
                if (fleet.steps() > LEARNED && i > ENOUGH) {
                    assertEquals(200, read);
                    assertEquals(1, new HashSet<>(nodes).size(), nodes.toString());
                    repeated += nodes.size() - 1;
                }
            }
            assertTrue(repeated > 0);
        }
    }

    @Test
    void twoBreaksInARowSpareNoNode() throws Exception {
        try (Fleet fleet = new Fleet(5, breaking(2), Fleet.answering())) {
            Map<Integer, Set<String>> places = new HashMap<>();
            for (int i = 0; fleet.steps() < PLAYED || i < 2 * ENOUGH; i++) {
                fleet.read();
                if (fleet.steps() > LEARNED && i > ENOUGH) {
                    assertTrue(fleet.nodesOf.containsKey(fleet.lastId()), "a read was refused unsent");
                    places.computeIfAbsent(i % Fleet.KEYS, k -> new HashSet<>())
                            .addAll(fleet.nodesOf.get(fleet.lastId()));
                }
            }
            places.forEach((key, nodes) -> assertTrue(nodes.size() <= 2, nodes.toString()));
        }
    }

    @Test
    void anOriginThatAloneBreaksIsThrottled() throws Exception {
        Fleet.Script half = (request, n) -> {
            if (n % 2 == 0) {
                request.wire().close();
            } else {
                Fleet.answer(request);
            }
        };
        try (Fleet fleet = new Fleet(4, Fleet.answering(), half)) {
            boolean unsent = false;
            while (!unsent && fleet.steps() < 3 * PLAYED) {
                fleet.read();
                unsent = fleet.write() == 503 && !fleet.nodesOf.containsKey(fleet.lastId());
            }
            assertTrue(unsent, "an origin that cuts off half of its requests is never relieved");
        }
    }
}
