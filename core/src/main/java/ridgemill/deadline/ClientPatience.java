package ridgemill.deadline;

/**
 * How long clients of one class wait before they disconnect, whatever timeout they send: for each age of a request, the
 * fraction of the requests still open whose client left at that age. This gives the probability that a client is still
 * connected when a later response arrives (the product-limit estimate of Kaplan and Meier over buckets of age; answered
 * requests are censored at the age of their response).
 */
final class ClientPatience {

    /** With fewer departures than this nothing is estimated: some clients always leave. */
    private static final int MIN_SAMPLES = 12;

    private final SlidingHistogram ended = new SlidingHistogram(ResponseTimes.RETENTION_MS / 2);
    private final SlidingHistogram left = new SlidingHistogram(ResponseTimes.RETENTION_MS / 2);

    /** Records a request that had its final response at this age. */
    void answered(double nowMs, double ageMs) {
        ended.add(nowMs, ageMs);
    }

    /** Records a request whose client left without a response at this age. */
    void clientLeft(double nowMs, double ageMs) {
        ended.add(nowMs, ageMs);
        left.add(nowMs, ageMs);
    }

    /** The probability that the client of a request of age {@code ageMs} stays until {@code laterMs}; 1 if unknown. */
    double probabilityOfStaying(double nowMs, double ageMs, double laterMs) {
        if (left.total(nowMs) < MIN_SAMPLES) {
            return 1;
        }
        int atRisk = ended.total(nowMs);
        int first = SlidingHistogram.bucketOf(ageMs);
        int last = SlidingHistogram.bucketOf(laterMs);
        double probability = 1;
        // Once too few requests remain at risk, the estimate would be unreliable.
        for (int bucket = 0; bucket < last && atRisk >= MIN_SAMPLES; bucket++) {
            if (bucket >= first) {
                probability *= 1 - (double) left.count(bucket) / atRisk;
            }
            atRisk -= ended.count(bucket);
        }
        return probability;
    }
}
