package ridgemill.deadline;

/**
 * How long attempts of one kind take: those that were answered, and, as times that they take at least, those that were given
 * up. From too few nothing is told. What is not sent teaches nothing, so all is forgotten within {@value #FORGOTTEN_MS} ms
 * and tried again.
 */
final class AnswerTimes {

    /** After so long at the latest a figure rests on what was seen since. */
    static final double FORGOTTEN_MS = 20_000;
    /** Fewer than this are no sample. */
    private static final int THIN = 40;
    /** Part of the answers that may be quicker than the least that is told: one lucky answer must not tell. */
    private static final double QUICKEST = 0.02;

    private final Generations answered = new Generations(FORGOTTEN_MS / 2);
    private final Generations cut = new Generations(FORGOTTEN_MS / 2);

    /** An attempt was answered after so long. */
    void answered(double nowMs, double ms) {
        answered.add(nowMs, ms);
    }

    /** An attempt was given up after so long. */
    void cut(double nowMs, double ms) {
        cut.add(nowMs, ms);
    }

    /** The least time in which an answer may be hoped for, 0 where that is not known. */
    double leastMs(double nowMs) {
        int all = answered.total(nowMs);
        if (all < THIN) {
            return 0;
        }
        int before = 0;
        int b = 0;
        while (before + answered.at(b) <= QUICKEST * all) {
            before += answered.at(b++);
        }
        return Generations.from(b);
    }

    /**
     * The time that half of them take, 0 where that is not known. Those that were given up took longer than they had, nobody
     * knows by how much (the product-limit estimate of Kaplan and Meier); where most are given up, it is infinite.
     */
    double usualMs(double nowMs) {
        int atRisk = answered.total(nowMs) + cut.total(nowMs);
        if (atRisk < THIN) {
            return 0;
        }
        double longer = 1;
        for (int b = 0; b < Generations.BUCKETS && atRisk > 0; b++) {
            longer *= 1 - (double) answered.at(b) / atRisk;
            if (longer <= 0.5) {
                return Generations.from(b);
            }
            atRisk -= answered.at(b) + cut.at(b);
        }
        return Double.POSITIVE_INFINITY;
    }

    /** The time that one answer in twenty is later than, infinite where that is not known. */
    double lateMs(double nowMs) {
        int all = answered.total(nowMs);
        if (all < THIN) {
            return Double.POSITIVE_INFINITY;
        }
        int after = 0;
        int b = Generations.BUCKETS - 1;
        while (20 * (after + answered.at(b)) <= all) {
            after += answered.at(b--);
        }
        return Generations.from(Math.min(Generations.BUCKETS - 1, b + 1));
    }
}
