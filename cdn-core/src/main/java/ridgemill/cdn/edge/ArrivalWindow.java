package ridgemill.cdn.edge;

/** Counts events of the last window, in steps of a part of it; those of the oldest step may be left out. */
final class ArrivalWindow {

    private static final int STEPS = 20;

    private final double stepMs;
    private final int[] counts = new int[STEPS];
    private long current = Long.MIN_VALUE;
    private int sum;

    ArrivalWindow(double windowMs) {
        stepMs = windowMs / STEPS;
    }

    /** Adds to the count of this moment, or takes from it. Returns the sum of the window. */
    int add(int count, double nowMs) {
        move((long) Math.floor(nowMs / stepMs));
        counts[(int) Math.floorMod(current, (long) STEPS)] += count;
        sum += count;
        return sum;
    }

    private void move(long step) {
        if (current == Long.MIN_VALUE) {
            current = step;
        }
        for (int passed = 0; current < step && passed < STEPS; passed++) {
            current++;
            int place = (int) Math.floorMod(current, (long) STEPS);
            sum -= counts[place];
            counts[place] = 0;
        }
        current = Math.max(current, step);
    }
}
