package ridgemill.cdn.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import org.junit.jupiter.api.Test;
import ridgemill.cdn.edge.CachedObject;
import ridgemill.cdn.edge.ObjectCache;

class ResponseMemoryTest {

    private static final int MB = 1_024 * 1_024;
    private static final long HEAP_BYTES = 100L * MB;
    private static final long COPY_BYTES = 45L * MB;
    /** Half of the heap. */
    private static final long CAPACITY_BYTES = 50L * MB;

    private final Queue<Runnable> tasks = new ArrayDeque<>();
    private final ObjectCache copies = new ObjectCache(COPY_BYTES);
    private final ResponseMemory memory =
            new ResponseMemory(new SimpleMeterRegistry(), tasks::add, HEAP_BYTES, copies, COPY_BYTES);
    private final List<String> granted = new ArrayList<>();

    private ResponseMemory.Reservation reserve(String name, long bytes) {
        return memory.reserve(bytes, () -> granted.add(name));
    }

    private void runTasks() {
        while (!tasks.isEmpty()) {
            tasks.poll().run();
        }
    }

    @Test
    void bodiesThatDoNotFitWaitInOrderOfArrival() {
        ResponseMemory.Reservation first = reserve("first", 40L * MB);
        ResponseMemory.Reservation second = reserve("second", 30L * MB);
        ResponseMemory.Reservation third = reserve("third", 5L * MB);
        assertThat(first.isGranted()).isTrue();
        assertThat(second.isGranted()).isFalse();
        assertThat(third.isGranted()).as("would fit, but came later").isFalse();
        first.release();
        assertThat(granted).as("served later, not within the release").isEmpty();
        runTasks();
        assertThat(granted).containsExactly("second", "third");
        assertThat(memory.tryReserve(15L * MB + 1)).isNull();
    }

    @Test
    void whoStopsWaitingIsNotServed() {
        ResponseMemory.Reservation first = reserve("first", 40L * MB);
        ResponseMemory.Reservation second = reserve("second", 30L * MB);
        reserve("third", 30L * MB);
        second.release();
        first.release();
        runTasks();
        assertThat(granted).containsExactly("third");
    }

    @Test
    void smallBodiesDoNotWaitForLargeOnes() {
        reserve("large", CAPACITY_BYTES);
        assertThat(reserve("waits", MB).isGranted()).isFalse();
        assertThat(reserve("small", 64 * 1_024).isGranted()).isTrue();
    }

    @Test
    void aBodyThatNeverFitsIsKnownAtOnce() {
        assertThat(memory.canHold(CAPACITY_BYTES)).isTrue();
        assertThat(memory.canHold(CAPACITY_BYTES + 1)).isFalse();
    }

    @Test
    void aBodyThatIsWrittenToSeveralClientsCountsOnce() {
        byte[] body = new byte[30 * MB];
        assertThat(memory.tryHoldForWriting(body)).isTrue();
        assertThat(memory.tryHoldForWriting(body)).isTrue();
        assertThat(memory.tryHoldForWriting(new byte[21 * MB])).isFalse();
        memory.releaseFromWriting(body);
        assertThat(memory.tryReserve(21L * MB)).as("one client still reads").isNull();
        memory.releaseFromWriting(body);
        assertThat(memory.tryReserve(CAPACITY_BYTES)).isNotNull();
    }

    /** The reader's memory becomes the writer's: nobody else may take it in between. */
    @Test
    void memoryThatIsGivenBackCanBeTakenAgainBeforeThoseThatWait() {
        ResponseMemory.Reservation reading = reserve("reading", CAPACITY_BYTES);
        reserve("waits", MB);
        reading.release();
        assertThat(memory.tryHoldForWriting(new byte[(int) CAPACITY_BYTES])).isTrue();
        runTasks();
        assertThat(granted).isEmpty();
    }

    @Test
    void copiesGiveWayToLargeBodies() {
        for (int i = 0; i < 45; i++) {
            copies.put(new CachedObject("k" + i, List.of(), null, List.of(), new byte[MB - 2_048], 0));
        }
        assertThat(copies.count()).isEqualTo(45);
        ResponseMemory.Reservation body = reserve("body", 40L * MB);
        assertThat(copies.sizeBytes()).isLessThanOrEqualTo(20L * MB);
        assertThat(copies.get("k44")).as("used last").isNotNull();
        body.release();
        copies.put(new CachedObject("new", List.of(), null, List.of(), new byte[9 * MB], 0));
        assertThat(copies.get("new")).isNotNull();
        assertThat(copies.sizeBytes()).isBetween(20L * MB, COPY_BYTES);
    }
}
