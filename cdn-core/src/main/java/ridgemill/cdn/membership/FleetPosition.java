package ridgemill.cdn.membership;

/**
 * The place of one process among all that share a bound. It divides whole units, such as connections, so that the parts
 * of all places add up to exactly the whole, whatever the size: a part may be 0.
 *
 * @param size how many share the bound, 1 or more
 * @param rank this process' place among them, from 0 to {@code size - 1}
 */
public record FleetPosition(int size, int rank) {

    /** The only process. */
    public static final FleetPosition ALONE = new FleetPosition(1, 0);

    public FleetPosition {
        if (size < 1 || rank < 0 || rank >= size) {
            throw new IllegalArgumentException("no place " + rank + " among " + size);
        }
    }

    /**
     * This place's part of a number of units.
     *
     * @param units how many there are for all places
     * @param index numbers the bounds of one kind from 0: what can't be divided of each goes to the places that follow
     *     those which got it of the one before
     */
    public int share(int units, int index) {
        int left = units % size;
        int turned = Math.floorMod(rank - (long) index * left, size);
        return units / size + (turned < left ? 1 : 0);
    }
}
