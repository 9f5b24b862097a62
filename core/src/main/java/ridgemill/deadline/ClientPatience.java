package ridgemill.deadline;

/**
 * How long clients of one class stay, whatever they say: for each age of a request, which part of those that were still open
 * left in it. From that follows how likely it is that somebody is there to read an answer that comes later (the product-limit
 * estimate of Kaplan and Meier, over buckets of age; those that were answered are cut off at their answer's age).
 */
final class ClientPatience {

    /** Fewer that left than this tell nothing: some clients always leave. */
    private static final int THIN = 12;

    private final SlidingHistogram ended = new SlidingHistogram(ResponseTimes.RETENTION_MS / 2);
    private final SlidingHistogram left = new SlidingHistogram(ResponseTimes.RETENTION_MS / 2);

    /** A request of this age had its final answer. */
    void answered(double nowMs, double ageMs) {
        ended.add(nowMs, ageMs);
    }

    /** The client of a request of this age left without one. */
    void clientLeft(double nowMs, double ageMs) {
        ended.add(nowMs, ageMs);
        left.add(nowMs, ageMs);
    }

    /** How likely it is that the client of a request of one age is there at another; 1 where nothing is known. */
    double probabilityOfStaying(double nowMs, double ageMs, double laterMs) {
        if (left.total(nowMs) < THIN) {
            return 1;
        }
        int atRisk = ended.total(nowMs);
        int first = SlidingHistogram.bucketOf(ageMs);
        int last = SlidingHistogram.bucketOf(laterMs);
        double stays = 1;
        // Past the few that are left in the end nothing can be told.
        for (int b = 0; b < last && atRisk >= THIN; b++) {
            if (b >= first) {
                stays *= 1 - (double) left.count(b) / atRisk;
            }
            atRisk -= ended.count(b);
        }
        return stays;
    }
}
