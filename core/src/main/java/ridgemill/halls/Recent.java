package ridgemill.halls;

/** Counts what went well and what did not over the last while, in slots that are used again. */
final class Recent {

    private static final int SLOTS = 10;

    private final double slotMs;
    private final int[] good = new int[SLOTS];
    private final int[] bad = new int[SLOTS];
    private long slot = Long.MIN_VALUE;

    /** Counts over so many milliseconds, up to a tenth of it less. */
    Recent(double windowMs) {
        this.slotMs = windowMs / SLOTS;
    }

    void add(double nowMs, boolean well) {
        int at = turn(nowMs);
        if (well) {
            good[at]++;
        } else {
            bad[at]++;
        }
    }

    /** How many there were. */
    int total(double nowMs) {
        turn(nowMs);
        int sum = 0;
        for (int i = 0; i < SLOTS; i++) {
            sum += good[i] + bad[i];
        }
        return sum;
    }

    /** The part that did not go well; 0 if there were none. */
    double badShare(double nowMs) {
        int total = total(nowMs);
        int sum = 0;
        for (int b : bad) {
            sum += b;
        }
        return total == 0 ? 0 : (double) sum / total;
    }

    void clear() {
        slot = Long.MIN_VALUE;
    }

    private int turn(double nowMs) {
        long now = (long) Math.floor(nowMs / slotMs);
        if (slot == Long.MIN_VALUE || now - slot >= SLOTS) {
            for (int i = 0; i < SLOTS; i++) {
                good[i] = 0;
                bad[i] = 0;
            }
            slot = now;
        }
        while (slot < now) {
            slot++;
            int at = (int) Math.floorMod(slot, (long) SLOTS);
            good[at] = 0;
            bad[at] = 0;
        }
        return (int) Math.floorMod(slot, (long) SLOTS);
    }
}
