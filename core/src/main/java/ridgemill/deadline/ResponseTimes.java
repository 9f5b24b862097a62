package ridgemill.deadline;

/**
 * How long attempts of one kind take: those that were answered, and, as times that they take at least, those that were given
 * up. From too few nothing is told. What is not sent teaches nothing, so all is forgotten within {@value #RETENTION_MS} ms
 * and tried again.
 */
final class ResponseTimes {

    /** After so long at the latest a figure rests on what was seen since. */
    static final double RETENTION_MS = 20_000;
    /** Fewer than this are no sample. */
    private static final int THIN = 40;
    /** Part of the answers that may be quicker than the least that is told: one lucky answer must not tell. */
    private static final double QUICKEST = 0.02;

    private final SlidingHistogram answered = new SlidingHistogram(RETENTION_MS / 2);
    private final SlidingHistogram cut = new SlidingHistogram(RETENTION_MS / 2);

    /** An attempt was answered after so long. */
    void answered(double nowMs, double ms) {
        answered.add(nowMs, ms);
    }

    /** An attempt was given up after so long. */
    void abandoned(double nowMs, double ms) {
        cut.add(nowMs, ms);
    }

    /** The least time in which an answer may be hoped for, 0 where that is not known. */
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
     * The time that half of them take, 0 where that is not known. Those that were given up took longer than they had, nobody
     * knows by how much (the product-limit estimate of Kaplan and Meier); where most are given up, it is infinite.
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

    /** The time that one answer in twenty is later than, infinite where that is not known. */
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
