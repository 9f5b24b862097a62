package ridgemill.cdn.edge;

import java.util.Arrays;

/**
 * Limits, for one service, the retries: the requests that instances receive beyond the first attempt of each client
 * request. The limit applies to all proxies together: each proxy allows itself a ratio of its own requests and an even
 * share of the fixed slack. The window slides in buckets of a twentieth of its length; retries count for one bucket
 * longer than the window, requests for no longer than the window.
 */
public final class RetryBudget {

    /** The fraction of the ratio that is used, since the windows and clocks of the proxies differ. */
    private static final double USED_RATIO_FRACTION = 0.8;

    /** The fraction of the slack that is used, for the same reason. */
    private static final double USED_SLACK_FRACTION = 0.7;

    private static final int BUCKETS = 20;

    private final double ratio;
    private final double slack;
    private final double bucketMs;
    private final int[] requests = new int[BUCKETS + 1];
    private final int[] retries = new int[BUCKETS + 1];
    private long currentBucket = Long.MIN_VALUE;

    /**
     * An unused budget.
     *
     * @param ratio the allowed retries per request
     * @param slack the retries that are allowed in addition within a window, for all proxies together
     * @param windowMs the length of the sliding window, in milliseconds
     */
    public RetryBudget(double ratio, double slack, double windowMs) {
        this.ratio = ratio;
        this.slack = slack;
        this.bucketMs = windowMs / BUCKETS;
    }

    /** Counts a client request for this service. */
    public void countRequest(double nowMs) {
        requests[advanceTo(nowMs)]++;
    }

    /**
     * Takes one retry from the budget.
     *
     * @param proxyCount the number of proxies that share the limit
     * @return false if the budget is used up
     */
    public boolean tryRetry(double nowMs, int proxyCount) {
        int bucket = advanceTo(nowMs);
        int used = 0;
        int requestCount = 0;
        for (int i = 0; i <= BUCKETS; i++) {
            used += retries[i];
            requestCount += i == oldestBucket(bucket) ? 0 : requests[i];
        }
        if (used + 1
                > USED_RATIO_FRACTION * ratio * requestCount + USED_SLACK_FRACTION * slack / Math.max(1, proxyCount)) {
            return false;
        }
        retries[bucket]++;
        return true;
    }

    /** Returns a retry that was taken and not sent. Deducted from the current bucket, at most down to 0. */
    public void giveBack(double nowMs) {
        int bucket = advanceTo(nowMs);
        retries[bucket] = Math.max(0, retries[bucket] - 1);
    }

    private static int oldestBucket(int bucket) {
        return (bucket + 1) % (BUCKETS + 1);
    }

    /** Clears the buckets that have left the window and returns the index of the current one. */
    private int advanceTo(double nowMs) {
        long bucket = (long) Math.floor(nowMs / bucketMs);
        if (currentBucket == Long.MIN_VALUE || bucket - currentBucket > BUCKETS) {
            Arrays.fill(requests, 0);
            Arrays.fill(retries, 0);
            currentBucket = bucket;
        }
        while (currentBucket < bucket) {
            currentBucket++;
            int index = bucketOf(currentBucket);
            requests[index] = 0;
            retries[index] = 0;
        }
        return bucketOf(currentBucket);
    }

    private static int bucketOf(long bucket) {
        return (int) Math.floorMod(bucket, BUCKETS + 1L);
    }
}
