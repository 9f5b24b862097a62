package ridgemill.deadline;

/**
 * A histogram of recent durations. Bucket bounds grow by a factor of 2^(1/4). Samples are kept in two generations; the
 * older one is discarded when the younger one has reached its age. Written for this purpose because it is updated for
 * every request in a process of 64 MB: it needs two arrays of integers and no object per sample, and forgets the older
 * half at once. HdrHistogram would take 20 times the memory for a precision that is not needed here.
 */
final class SlidingHistogram {

    static final int BUCKETS = 72;
    private static final double PER_DOUBLING = 4;
    /** Upper bound of the first bucket, which holds all shorter durations; the last holds all from about 9.3 s up. */
    private static final double FIRST_MS = 0.05;

    private final double ageMs;
    private int[] young = new int[BUCKETS];
    private int[] old = new int[BUCKETS];
    private double turnedAt = Double.NEGATIVE_INFINITY;
    private int total;

    /** Creates an empty histogram that discards samples older than two generations of {@code generationMs}. */
    SlidingHistogram(double ageMs) {
        this.ageMs = ageMs;
    }

    static int bucketOf(double ms) {
        return ms <= FIRST_MS ? 0 : (int) Math.min(BUCKETS - 1,
                1 + PER_DOUBLING * Math.log(ms / FIRST_MS) / Math.log(2));
    }

    /** The shortest duration that a bucket holds, in milliseconds. */
    static double lowerBoundMs(int bucket) {
        return bucket == 0 ? 0 : FIRST_MS * Math.pow(2, (bucket - 1) / PER_DOUBLING);
    }

    void add(double nowMs, double ms) {
        turn(nowMs);
        young[bucketOf(ms)]++;
        total++;
    }

    /** The number of recent samples; discards old ones first. */
    int total(double nowMs) {
        turn(nowMs);
        return total;
    }

    /** The number of samples in a bucket. Call {@link #total} first: this method does not discard old samples. */
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
