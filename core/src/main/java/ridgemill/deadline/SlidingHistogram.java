package ridgemill.deadline;

/**
 * Counts over milliseconds in buckets that grow by a quarter of a doubling, of the last while: two generations, of which the
 * older goes when the younger is full of age. Hand-made as it stands on every request's path in 64 MB: two arrays of
 * integers, no object for a sample, and the oldest half forgotten at once; HdrHistogram would take 20 times the memory for a
 * precision that nobody here asks for.
 */
final class SlidingHistogram {

    static final int BUCKETS = 72;
    private static final double PER_DOUBLING = 4;
    /** The first bucket holds all that is shorter; the last, from some 13 s on, all that is longer. */
    private static final double FIRST_MS = 0.05;

    private final double ageMs;
    private int[] young = new int[BUCKETS];
    private int[] old = new int[BUCKETS];
    private double turnedAt = Double.NEGATIVE_INFINITY;
    private int total;

    /** Forgets what is older than two of these. */
    SlidingHistogram(double ageMs) {
        this.ageMs = ageMs;
    }

    static int bucketOf(double ms) {
        return ms <= FIRST_MS ? 0 : (int) Math.min(BUCKETS - 1,
                1 + PER_DOUBLING * Math.log(ms / FIRST_MS) / Math.log(2));
    }

    /** The shortest time that a bucket holds. */
    static double lowerBoundMs(int bucket) {
        return bucket == 0 ? 0 : FIRST_MS * Math.pow(2, (bucket - 1) / PER_DOUBLING);
    }

    void add(double nowMs, double ms) {
        turn(nowMs);
        young[bucketOf(ms)]++;
        total++;
    }

    /** How many there are of late. */
    int total(double nowMs) {
        turn(nowMs);
        return total;
    }

    /** How many of a bucket; after {@link #total}, which forgets. */
    int count(int bucket) {
        return young[bucket] + old[bucket];
    }

    private void turn(double nowMs) {
        if (nowMs - turnedAt < ageMs) {
            return;
        }
        if (nowMs - turnedAt >= 2 * ageMs) {
            clear(young);
        }
        int[] freed = old;
        old = young;
        young = freed;
        clear(young);
        turnedAt = nowMs;
        total = 0;
        for (int n : old) {
            total += n;
        }
    }

    private static void clear(int[] counts) {
        java.util.Arrays.fill(counts, 0);
    }
}
