package ridgemill.datacenter;

/** Counts what went well and what did not over the last while, in slots that are used again. */
final class OutcomeWindow {

    private static final int SLOTS = 10;

    private final double slotMs;
    private final int[] successes = new int[SLOTS];
    private final int[] failures = new int[SLOTS];
    private long currentSlot = Long.MIN_VALUE;

    /** Counts over so many milliseconds, up to a tenth of it less. */
    OutcomeWindow(double windowMs) {
        this.slotMs = windowMs / SLOTS;
    }

    void add(double nowMs, boolean well) {
        int at = advance(nowMs);
        if (well) {
            successes[at]++;
        } else {
            failures[at]++;
        }
    }

    /** How many there were. */
    int total(double nowMs) {
        advance(nowMs);
        int sum = 0;
        for (int i = 0; i < SLOTS; i++) {
            sum += successes[i] + failures[i];
        }
        return sum;
    }

    /** The part that did not go well; 0 if there were none. */
    double failureRatio(double nowMs) {
        int total = total(nowMs);
        int sum = 0;
        for (int b : failures) {
            sum += b;
        }
        return total == 0 ? 0 : (double) sum / total;
    }

    void clear() {
        currentSlot = Long.MIN_VALUE;
    }

    private int advance(double nowMs) {
        long now = (long) Math.floor(nowMs / slotMs);
        if (currentSlot == Long.MIN_VALUE || now - currentSlot >= SLOTS) {
            for (int i = 0; i < SLOTS; i++) {
                successes[i] = 0;
                failures[i] = 0;
            }
            currentSlot = now;
        }
        while (currentSlot < now) {
            currentSlot++;
            int at = (int) Math.floorMod(currentSlot, (long) SLOTS);
            successes[at] = 0;
            failures[at] = 0;
        }
        return (int) Math.floorMod(currentSlot, (long) SLOTS);
    }
}
