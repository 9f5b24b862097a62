package ridgemill.cdn.proxy;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.util.internal.PlatformDependent;
import ridgemill.cdn.edge.ByteBudget;

/**
 * The memory for the bodies of requests: a part of the heap for bodies that are gathered, and a part of the direct
 * memory for the buffers of bodies that are streamed. Both are parts of what the process has, so that neither small
 * bodies of many clients nor many uploads at once exhaust it.
 */
final class BodyMemory {

    /** Fraction of the maximum heap size for bodies that are gathered. */
    private static final double GATHERED_HEAP_FRACTION = 0.1;
    /** Fraction of the direct memory for the buffers of bodies that are streamed. */
    private static final double STREAMED_DIRECT_FRACTION = 0.35;
    /**
     * What one streamed body takes of the direct memory at most, in bytes: what was read from the client, and the output
     * buffer of the instance's connection, which accepts one more piece while it is below its high water mark.
     */
    private static final long STREAM_BYTES = 256 * 1_024;

    private final ByteBudget gathered;
    private final ByteBudget streamed;

    private BodyMemory(ByteBudget gathered, ByteBudget streamed) {
        this.gathered = gathered;
        this.streamed = streamed;
    }

    /** The memory of this process, with meters of its use. */
    static BodyMemory ofProcess(MeterRegistry registry) {
        return create(registry, Runtime.getRuntime().maxMemory(), PlatformDependent.maxDirectMemory());
    }

    /**
     * Creates the memory of a process.
     *
     * @param heapBytes the maximum heap size, in bytes
     * @param directBytes the maximum size of direct memory, in bytes
     */
    static BodyMemory create(MeterRegistry registry, long heapBytes, long directBytes) {
        BodyMemory memory =
                new BodyMemory(new ByteBudget((long) (GATHERED_HEAP_FRACTION * heapBytes)), new ByteBudget((long)
                        (STREAMED_DIRECT_FRACTION * directBytes)));
        register(registry, "gathered_bodies", memory.gathered);
        register(registry, "streamed_bodies", memory.streamed);
        return memory;
    }

    /** Registers the meters of a budget. */
    static void register(MeterRegistry registry, String use, ByteBudget budget) {
        Gauge.builder("ridgemill.memory.held", budget, ByteBudget::heldBytes)
                .tag("use", use)
                .baseUnit("bytes")
                .register(registry);
        Gauge.builder("ridgemill.memory.peak", budget, ByteBudget::peakBytes)
                .tag("use", use)
                .baseUnit("bytes")
                .register(registry);
        Gauge.builder("ridgemill.memory.capacity", budget, ByteBudget::capacityBytes)
                .tag("use", use)
                .baseUnit("bytes")
                .register(registry);
        FunctionCounter.builder("ridgemill.memory.refused", budget, ByteBudget::refusals)
                .tag("use", use)
                .register(registry);
    }

    /** Creates the lease of one connection, which holds nothing. */
    Lease lease() {
        return new Lease();
    }

    /** The memory that one connection holds for its current request. */
    final class Lease {

        private long gatheredBytes;
        private long streamedBytes;

        private Lease() {}

        /** Takes the memory for a body that is gathered. Returns whether there was enough. */
        boolean tryHold(long bytes) {
            boolean taken = gathered.tryTake(bytes);
            gatheredBytes += taken ? bytes : 0;
            return taken;
        }

        /** Takes the memory for a body that is streamed. Returns whether there was enough. */
        boolean tryStream() {
            boolean taken = streamed.tryTake(STREAM_BYTES);
            streamedBytes += taken ? STREAM_BYTES : 0;
            return taken;
        }

        /** Gives back all that this lease holds. */
        void giveBack() {
            gathered.giveBack(gatheredBytes);
            streamed.giveBack(streamedBytes);
            gatheredBytes = 0;
            streamedBytes = 0;
        }
    }
}
