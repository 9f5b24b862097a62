package ridgemill.deadline;

/**
 * A histogram of recent durations. Bucket bounds grow by a factor of 2^(1/4). Samples are kept in two generations; the
 * older one is discarded when the younger one has reached its age. Written for this purpose because it is updated for
 * every request in a process of 64 MB: it needs two arrays of integers and no object per sample, and forgets the older
 * half at once. HdrHistogram would take 20 times the memory for a precision that is not needed here.
 */
final class SlidingHistogram {

    static final int BUCKETS = 72;
    private static final double BUCKETS_PER_DOUBLING = 4;
    /** Upper bound of the first bucket, which holds all shorter durations; the last holds all from about 9.3 s up. */
    private static final double FIRST_BUCKET_MS = 0.05;

    private final double generationMs;
    private int[] young = new int[BUCKETS];
    private int[] old = new int[BUCKETS];
    private double rotatedAtMs = Double.NEGATIVE_INFINITY;
    private int total;

    /** Creates an empty histogram that discards samples older than two generations of {@code generationMs}. */
    SlidingHistogram(double generationMs) {
        this.generationMs = generationMs;
    }

    static int bucketOf(double ms) {
        return ms <= FIRST_BUCKET_MS ? 0 : (int) Math.min(BUCKETS - 1,
                1 + BUCKETS_PER_DOUBLING * Math.log(ms / FIRST_BUCKET_MS) / Math.log(2));
    }

    /** The shortest duration that a bucket holds, in milliseconds. */
    static double lowerBoundMs(int bucket) {
        return bucket == 0 ? 0 : FIRST_BUCKET_MS * Math.pow(2, (bucket - 1) / BUCKETS_PER_DOUBLING);
    }

    void add(double nowMs, double ms) {
        rotate(nowMs);
        young[bucketOf(ms)]++;
        total++;
    }

    /** The number of recent samples; discards old ones first. */
    int total(double nowMs) {
        rotate(nowMs);
        return total;
    }

    /** The number of samples in a bucket. Call {@link #total} first: this method does not discard old samples. */
    int count(int bucket) {
        return young[bucket] + old[bucket];
    }

    private void rotate(double nowMs) {
        if (nowMs - rotatedAtMs < generationMs) {
            return;
        }
        if (nowMs - rotatedAtMs >= 2 * generationMs) {
            clear(young);
        }
        int[] freed = old;
        old = young;
        young = freed;
        clear(young);
        rotatedAtMs = nowMs;
        total = 0;
        for (int n : old) {
            total += n;
        }
    }

    private static void clear(int[] counts) {
        java.util.Arrays.fill(counts, 0);
    }
}
