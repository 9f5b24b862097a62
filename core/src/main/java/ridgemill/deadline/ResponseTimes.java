package ridgemill.deadline;

/**
 * How long attempts of one kind take. Answered attempts give response times; attempts that were abandoned give lower
 * bounds of theirs (censored samples). With too few samples no figure is given. An attempt that is not sent adds no
 * sample, so all samples are discarded within {@value #RETENTION_MS} ms and the nodes are tried again.
 */
final class ResponseTimes {

    /** No figure rests on samples older than this. */
    static final double RETENTION_MS = 20_000;
    /** Fewer samples than this give no figure. */
    private static final int MIN_SAMPLES = 40;
    /**
     * Fraction of responses that may be faster than the reported minimum, so that one lucky response does not set it.
     */
    private static final double FASTEST_FRACTION = 0.02;

    private final SlidingHistogram answered = new SlidingHistogram(RETENTION_MS / 2);
    private final SlidingHistogram abandoned = new SlidingHistogram(RETENTION_MS / 2);

    /** Records an attempt that was answered after {@code ms}. */
    void answered(double nowMs, double ms) {
        answered.add(nowMs, ms);
    }

    /** Records an attempt that was abandoned after {@code ms}. */
    void abandoned(double nowMs, double ms) {
        abandoned.add(nowMs, ms);
    }

    /** The shortest time in which a response can be expected; 0 if unknown. */
    double minMs(double nowMs) {
        int total = answered.total(nowMs);
        if (total < MIN_SAMPLES) {
            return 0;
        }
        int faster = 0;
        int bucket = 0;
        while (faster + answered.count(bucket) <= FASTEST_FRACTION * total) {
            faster += answered.count(bucket++);
        }
        return SlidingHistogram.lowerBoundMs(bucket);
    }

    /**
     * The median time of an attempt; 0 if unknown. Abandoned attempts would have taken longer than they were given, by
     * an unknown amount, so the median is a product-limit (Kaplan-Meier) estimate; it is infinite if most are
     * abandoned.
     */
    double medianMs(double nowMs) {
        int atRisk = answered.total(nowMs) + abandoned.total(nowMs);
        if (atRisk < MIN_SAMPLES) {
            return 0;
        }
        double fractionLonger = 1;
        for (int bucket = 0; bucket < SlidingHistogram.BUCKETS && atRisk > 0; bucket++) {
            fractionLonger *= 1 - (double) answered.count(bucket) / atRisk;
            if (fractionLonger <= 0.5) {
                return SlidingHistogram.lowerBoundMs(bucket);
            }
            atRisk -= answered.count(bucket) + abandoned.count(bucket);
        }
        return Double.POSITIVE_INFINITY;
    }

    /** The 95th percentile of the answered attempts; infinite if unknown. */
    double p95Ms(double nowMs) {
        int total = answered.total(nowMs);
        if (total < MIN_SAMPLES) {
            return Double.POSITIVE_INFINITY;
        }
        int slower = 0;
        int bucket = SlidingHistogram.BUCKETS - 1;
        while (20 * (slower + answered.count(bucket)) <= total) {
            slower += answered.count(bucket--);
        }
        return SlidingHistogram.lowerBoundMs(Math.min(SlidingHistogram.BUCKETS - 1, bucket + 1));
    }
}
