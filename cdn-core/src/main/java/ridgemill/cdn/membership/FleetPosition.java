package ridgemill.cdn.membership;

/**
 * The position of one process among all that share a limit. Whole units, such as connections, are divided so that the
 * shares of all positions add up to exactly the total for any number of processes; a share may be 0.
 *
 * @param size the number of processes that share the limit, 1 or more
 * @param rank the index of this process among them, from 0 to {@code size - 1}
 */
public record FleetPosition(int size, int rank) {

    /** The position of a single process. */
    public static final FleetPosition ALONE = new FleetPosition(1, 0);

    public FleetPosition {
        if (size < 1 || rank < 0 || rank >= size) {
            throw new IllegalArgumentException("rank " + rank + " is out of range for size " + size);
        }
    }

    /**
     * The share of a number of units.
     *
     * @param units the total for all positions
     * @param index the index, from 0, of the limit among those of the same kind: the remainder of each division goes to
     *     the positions after those that received the remainder of the previous one
     */
    public int share(int units, int index) {
        int remainder = units % size;
        int rotatedRank = Math.floorMod(rank - (long) index * remainder, size);
        return units / size + (rotatedRank < remainder ? 1 : 0);
    }
}
