package ridgemill.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import ridgemill.limit.FairQueue.OfferResult;

/** Tenants are served in turn, and a full queue is shared among them instead of being held by the first. */
class FairQueueTest {

    private final FairQueue queue = new FairQueue();

    private List<String> drain() {
        List<String> ids = new ArrayList<>();
        for (String id = queue.poll(); id != null; id = queue.poll()) {
            ids.add(id);
        }
        return ids;
    }

    @Test
    void tenantsAreServedInTurnAndEachInOrder() {
        for (String id : List.of("a1", "a2", "a3", "b1", "c1", "c2")) {
            assertEquals(OfferResult.ACCEPTED, queue.offer(id, id.substring(0, 1), 10));
        }
        assertEquals(List.of("a1", "b1", "c1", "a2", "c2", "a3"), drain());
        assertTrue(queue.isEmpty());
        assertNull(queue.poll());
    }

    @Test
    void fullQueueDropsTheNewestRequestOfTheTenantWithTheMost() {
        for (int i = 0; i < 4; i++) {
            queue.offer("a" + i, "a", 4);
        }
        assertEquals(OfferResult.FULL, queue.offer("a4", "a", 4), "the tenant itself has the most requests");
        assertEquals(OfferResult.ACCEPTED, queue.offer("b0", "b", 4));
        assertEquals("a3", queue.displaced());
        assertEquals(OfferResult.ACCEPTED, queue.offer("b1", "b", 4));
        assertEquals("a2", queue.displaced());
        assertEquals(OfferResult.FULL, queue.offer("b2", "b", 4), "both tenants have the same number now");
        assertNull(queue.displaced());
        assertEquals(List.of("a0", "b0", "a1", "b1"), drain());
    }

    @Test
    void removedRequestIsNotReturnedLater() {
        queue.offer("a0", "a", 4);
        queue.offer("b0", "b", 4);
        assertTrue(queue.remove("a0"));
        assertFalse(queue.remove("a0"));
        assertEquals(List.of("b0"), drain());
    }

    /** Random operations against a plain map: the queue holds the requests that were accepted and have not left. */
    @Test
    void queueHoldsExactlyTheAcceptedRequestsThatHaveNotLeft() {
        long seed = System.nanoTime();
        System.out.println("FairQueueTest seed " + seed);
        SplittableRandom random = new SplittableRandom(seed);
        Map<String, String> expected = new HashMap<>();
        int capacity = 12;
        for (int i = 0; i < 20_000; i++) {
            String tenant = "t" + random.nextInt(5);
            switch (random.nextInt(4)) {
                case 0, 1 -> {
                    String id = tenant + "-" + i;
                    if (queue.offer(id, tenant, capacity) == OfferResult.ACCEPTED) {
                        expected.put(id, tenant);
                        if (queue.displaced() != null) {
                            assertTrue(expected.remove(queue.displaced()) != null, "seed " + seed);
                        }
                    }
                }
                case 2 -> {
                    String id = queue.poll();
                    assertEquals(expected.isEmpty(), id == null, "seed " + seed);
                    expected.remove(id);
                }
                default -> expected.keySet().stream().skip(random.nextInt(1 + expected.size() / 2)).findFirst()
                        .ifPresent(id -> {
                    assertTrue(queue.remove(id));
                    expected.remove(id);
                });
            }
            assertTrue(expected.size() <= capacity);
            assertEquals(expected.size(), queue.size(), "seed " + seed);
        }
    }
}
