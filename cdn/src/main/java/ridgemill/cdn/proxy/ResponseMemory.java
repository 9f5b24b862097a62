package ridgemill.cdn.proxy;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.ArrayDeque;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.Executor;
import ridgemill.cdn.edge.ByteBudget;
import ridgemill.cdn.edge.ObjectCache;

/**
 * The heap for the bodies of responses, while they are read from instances and while they are written to clients. Small
 * ones have a part of their own, so that large ones cannot delay them. Large ones may displace cached copies. A body
 * that does not fit now is read later: its reader waits without having read any of it.
 */
final class ResponseMemory {

    /** Bodies up to this size use the part for small ones, in bytes. */
    private static final long MAX_SMALL_BYTES = 64 * 1_024;

    private static final double SMALL_HEAP_FRACTION = 0.08;
    private static final double LARGE_HEAP_FRACTION = 0.5;
    /** Fraction of the maximum heap size for large bodies and cached copies together. */
    private static final double SHARED_HEAP_FRACTION = 0.6;

    /** One of the two parts, and who waits for it, in order of arrival. */
    private static final class Part {

        private final ByteBudget budget;
        private final Queue<Reservation> waiting = new ArrayDeque<>();

        private Part(long capacityBytes) {
            budget = new ByteBudget(capacityBytes);
        }
    }

    private final Part small;
    private final Part large;
    private final ObjectCache copies;
    private final long copyBytes;
    private final long sharedBytes;
    private final Executor loop;
    /** How many responses with this body are being written; the body counts once. */
    private final Map<byte[], Integer> writers = new IdentityHashMap<>();

    private boolean dispatchScheduled;

    /**
     * Creates the memory of a process.
     *
     * @param loop runs tasks on the event loop, later
     * @param heapBytes the maximum heap size, in bytes
     * @param copies the cached copies, whose capacity follows the memory that is left
     * @param copyBytes the maximum size of the cached copies, in bytes
     */
    ResponseMemory(MeterRegistry registry, Executor loop, long heapBytes, ObjectCache copies, long copyBytes) {
        this.loop = loop;
        this.small = new Part((long) (SMALL_HEAP_FRACTION * heapBytes));
        this.large = new Part((long) (LARGE_HEAP_FRACTION * heapBytes));
        this.copies = copies;
        this.copyBytes = copyBytes;
        this.sharedBytes = (long) (SHARED_HEAP_FRACTION * heapBytes);
        BodyMemory.register(registry, "small_responses", small.budget);
        BodyMemory.register(registry, "large_responses", large.budget);
    }

    /** Memory for a body that is being read: granted, or waited for. */
    final class Reservation {

        private final Part part;
        private final long bytes;
        private final Runnable whenGranted;
        private boolean granted;

        private Reservation(Part part, long bytes, Runnable whenGranted) {
            this.part = part;
            this.bytes = bytes;
            this.whenGranted = whenGranted;
        }

        boolean isGranted() {
            return granted;
        }

        boolean isLarge() {
            return part == large;
        }

        /** Gives the memory back, or stops waiting for it. Others that wait are served later. */
        void release() {
            if (granted) {
                granted = false;
                giveBack(part, bytes);
            } else {
                part.waiting.remove(this);
            }
        }
    }

    /** Whether a body of this size could ever be held. */
    boolean canHold(long bytes) {
        return bytes <= large.budget.capacityBytes();
    }

    /**
     * Reserves memory for a body: at once, or as soon as others have given back enough.
     *
     * @param whenGranted runs when the memory is granted later, not if it is granted at once
     */
    Reservation reserve(long bytes, Runnable whenGranted) {
        Reservation reservation = new Reservation(partFor(bytes), bytes, whenGranted);
        if (!reservation.part.waiting.isEmpty() || !tryGrant(reservation)) {
            reservation.part.waiting.add(reservation);
        }
        return reservation;
    }

    /** Reserves memory for a body of which a part is held already, so that it must not wait; null if there is none. */
    Reservation tryReserve(long bytes) {
        Reservation reservation = new Reservation(partFor(bytes), bytes, () -> {});
        return tryGrant(reservation) ? reservation : null;
    }

    /** Takes memory for a body that is written to a client. Returns whether there was enough. */
    boolean tryHoldForWriting(byte[] body) {
        Integer others = writers.get(body);
        if (others == null && !tryTake(partFor(body.length), body.length)) {
            return false;
        }
        writers.put(body, others == null ? 1 : others + 1);
        return true;
    }

    /** Gives back memory for a body that was written to a client. */
    void releaseFromWriting(byte[] body) {
        int others = writers.get(body) - 1;
        if (others > 0) {
            writers.put(body, others);
        } else {
            writers.remove(body);
            giveBack(partFor(body.length), body.length);
        }
    }

    private Part partFor(long bytes) {
        return bytes <= MAX_SMALL_BYTES ? small : large;
    }

    private boolean tryGrant(Reservation reservation) {
        reservation.granted = tryTake(reservation.part, reservation.bytes);
        return reservation.granted;
    }

    private boolean tryTake(Part part, long bytes) {
        boolean taken = part.budget.tryTake(bytes);
        if (taken && part == large) {
            limitCopies();
        }
        return taken;
    }

    private void giveBack(Part part, long bytes) {
        part.budget.giveBack(bytes);
        if (part == large) {
            limitCopies();
        }
        if (!part.waiting.isEmpty() && !dispatchScheduled) {
            dispatchScheduled = true;
            loop.execute(this::dispatch);
        }
    }

    private void limitCopies() {
        copies.setCapacity(Math.max(0, Math.min(copyBytes, sharedBytes - large.budget.heldBytes())));
    }

    private void dispatch() {
        dispatchScheduled = false;
        dispatch(small);
        dispatch(large);
    }

    private void dispatch(Part part) {
        while (!part.waiting.isEmpty() && tryGrant(part.waiting.peek())) {
            part.waiting.poll().whenGranted.run();
        }
    }
}
