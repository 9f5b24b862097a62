package ridgemill.cdn.edge;

/** Counts the events of a sliding window in buckets. Events of the oldest bucket may be missing from the sum. */
final class SlidingWindowCounter {

    private static final int BUCKETS = 20;

    private final double bucketMs;
    private final int[] counts = new int[BUCKETS];
    private long currentBucket = Long.MIN_VALUE;
    private int sum;

    SlidingWindowCounter(double windowMs) {
        bucketMs = windowMs / BUCKETS;
    }

    /** Adds a number, which may be negative, to the current bucket. Returns the sum over the window. */
    int add(int count, double nowMs) {
        advanceTo((long) Math.floor(nowMs / bucketMs));
        counts[(int) Math.floorMod(currentBucket, (long) BUCKETS)] += count;
        sum += count;
        return sum;
    }

    private void advanceTo(long bucket) {
        if (currentBucket == Long.MIN_VALUE) {
            currentBucket = bucket;
        }
        for (int passed = 0; currentBucket < bucket && passed < BUCKETS; passed++) {
            currentBucket++;
            int index = (int) Math.floorMod(currentBucket, (long) BUCKETS);
            sum -= counts[index];
            counts[index] = 0;
        }
        currentBucket = Math.max(currentBucket, bucket);
    }
}
