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
    private static final int THIN = 40;
    /**
     * Fraction of responses that may be faster than the reported minimum, so that one lucky response does not set it.
     */
    private static final double QUICKEST = 0.02;

    private final SlidingHistogram answered = new SlidingHistogram(RETENTION_MS / 2);
    private final SlidingHistogram cut = new SlidingHistogram(RETENTION_MS / 2);

    /** Records an attempt that was answered after {@code ms}. */
    void answered(double nowMs, double ms) {
        answered.add(nowMs, ms);
    }

    /** Records an attempt that was abandoned after {@code ms}. */
    void abandoned(double nowMs, double ms) {
        cut.add(nowMs, ms);
    }

    /** The shortest time in which a response can be expected; 0 if unknown. */
    double minMs(double nowMs) {
        int all = answered.total(nowMs);
        if (all < THIN) {
            return 0;
        }
        int before = 0;
        int b = 0;
        while (before + answered.count(b) <= QUICKEST * all) {
            before += answered.count(b++);
        }
        return SlidingHistogram.lowerBoundMs(b);
    }

    /**
     * The median time of an attempt; 0 if unknown. Abandoned attempts would have taken longer than they were given, by
     * an unknown amount, so the median is a product-limit (Kaplan-Meier) estimate; it is infinite if most are
     * abandoned.
     */
    double medianMs(double nowMs) {
        int atRisk = answered.total(nowMs) + cut.total(nowMs);
        if (atRisk < THIN) {
            return 0;
        }
        double longer = 1;
        for (int b = 0; b < SlidingHistogram.BUCKETS && atRisk > 0; b++) {
            longer *= 1 - (double) answered.count(b) / atRisk;
            if (longer <= 0.5) {
                return SlidingHistogram.lowerBoundMs(b);
            }
            atRisk -= answered.count(b) + cut.count(b);
        }
        return Double.POSITIVE_INFINITY;
    }

    /** The 95th percentile of the answered attempts; infinite if unknown. */
    double p95Ms(double nowMs) {
        int all = answered.total(nowMs);
        if (all < THIN) {
            return Double.POSITIVE_INFINITY;
        }
        int after = 0;
        int b = SlidingHistogram.BUCKETS - 1;
        while (20 * (after + answered.count(b)) <= all) {
            after += answered.count(b--);
        }
        return SlidingHistogram.lowerBoundMs(Math.min(SlidingHistogram.BUCKETS - 1, b + 1));
    }
}
