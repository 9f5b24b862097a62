package ridgemill.cdn.edge;

/**
 * A limit on the bytes that a process holds for one use. Bytes are taken before they are read and given back once they
 * are no longer held; if the limit does not allow it, nothing is taken.
 */
public final class ByteBudget {

    private final long capacityBytes;
    private long heldBytes;
    private long peakBytes;
    private long refusals;

    /**
     * Creates a budget of which nothing is taken.
     *
     * @param capacityBytes the maximum number of bytes held at any time, not negative
     */
    public ByteBudget(long capacityBytes) {
        if (capacityBytes < 0) {
            throw new IllegalArgumentException("capacity is negative: " + capacityBytes);
        }
        this.capacityBytes = capacityBytes;
    }

    /** Takes bytes if the limit allows it. Returns whether they were taken; a refusal is counted. */
    public boolean tryTake(long bytes) {
        if (bytes < 0) {
            throw new IllegalArgumentException("number of bytes is negative: " + bytes);
        }
        if (bytes > capacityBytes - heldBytes) {
            refusals++;
            return false;
        }
        heldBytes += bytes;
        peakBytes = Math.max(peakBytes, heldBytes);
        return true;
    }

    /**
     * Gives back bytes that were taken.
     *
     * @throws IllegalStateException if more bytes are given back than are held
     */
    public void giveBack(long bytes) {
        if (bytes < 0 || bytes > heldBytes) {
            throw new IllegalStateException("given back " + bytes + " of " + heldBytes + " bytes");
        }
        heldBytes -= bytes;
    }

    /** The maximum number of bytes held at any time. */
    public long capacityBytes() {
        return capacityBytes;
    }

    /** The number of bytes held now. */
    public long heldBytes() {
        return heldBytes;
    }

    /** The largest number of bytes held at any time so far. */
    public long peakBytes() {
        return peakBytes;
    }

    /** How often bytes were refused so far. */
    public long refusals() {
        return refusals;
    }
}
