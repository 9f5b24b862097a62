package ridgemill.datacenter;

/** Counts successes and failures of the last while, in a ring of time slots. */
final class OutcomeWindow {

    private static final int SLOTS = 10;

    private final double slotMs;
    private final int[] successes = new int[SLOTS];
    private final int[] failures = new int[SLOTS];
    private long currentSlot = Long.MIN_VALUE;

    /** Counts over the given time, or up to a tenth of it less. */
    OutcomeWindow(double windowMs) {
        this.slotMs = windowMs / SLOTS;
    }

    void add(double nowMs, boolean success) {
        int index = advance(nowMs);
        if (success) {
            successes[index]++;
        } else {
            failures[index]++;
        }
    }

    /** The number of outcomes. */
    int total(double nowMs) {
        advance(nowMs);
        int sum = 0;
        for (int i = 0; i < SLOTS; i++) {
            sum += successes[i] + failures[i];
        }
        return sum;
    }

    /** The fraction of failures; 0 without outcomes. */
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
            int index = (int) Math.floorMod(currentSlot, (long) SLOTS);
            successes[index] = 0;
            failures[index] = 0;
        }
        return (int) Math.floorMod(currentSlot, (long) SLOTS);
    }
}
