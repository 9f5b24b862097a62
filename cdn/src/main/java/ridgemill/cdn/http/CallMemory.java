package ridgemill.cdn.http;

import ridgemill.cdn.edge.ByteBudget;

/**
 * The heap for calls in progress: their bodies, from the head on until the response has been sent, and large responses
 * until they have been sent. Calls with small bodies, such as heartbeats, have a part of their own, so that large ones
 * cannot displace them.
 */
final class CallMemory {

    /** Bodies up to this size use the part for small ones, in bytes. */
    private static final long MAX_SMALL_BYTES = 64 * 1_024;
    /** What a body takes at least, for its call, in bytes. */
    private static final long MIN_BYTES = 1_024;
    /** Fraction of the maximum heap size for small bodies. */
    private static final double SMALL_HEAP_FRACTION = 0.06;
    /**
     * Fraction of the maximum heap size for large bodies, each of which takes several times its size while it is parsed
     * and decided.
     */
    private static final double LARGE_HEAP_FRACTION = 0.125;

    private final ByteBudget small;
    private final ByteBudget large;

    /**
     * Creates the memory of a process.
     *
     * @param heapBytes the maximum heap size, in bytes
     */
    CallMemory(long heapBytes) {
        small = new ByteBudget((long) (SMALL_HEAP_FRACTION * heapBytes));
        large = new ByteBudget((long) (LARGE_HEAP_FRACTION * heapBytes));
    }

    /** Takes the memory for a body. Returns whether there was enough. */
    boolean tryTake(long bytes) {
        return budgetFor(bytes).tryTake(Math.max(MIN_BYTES, bytes));
    }

    /** Gives back the memory for a body of this size. */
    void giveBack(long bytes) {
        budgetFor(bytes).giveBack(Math.max(MIN_BYTES, bytes));
    }

    private ByteBudget budgetFor(long bytes) {
        return bytes <= MAX_SMALL_BYTES ? small : large;
    }

    /** The largest body for which there can be memory, in bytes. */
    long maxBytes() {
        return large.capacityBytes();
    }
}
