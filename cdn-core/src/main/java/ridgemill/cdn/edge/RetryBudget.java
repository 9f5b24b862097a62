package ridgemill.cdn.edge;

import java.util.Arrays;

/**
 * Bounds, for one service, the arrivals at its instances beyond the first of each request. All proxies share the bound
 * of the rules: each allows itself a ratio of its own requests and an even part of the fixed slack. The window slides
 * by a twentieth of its length at a time; repeats count for one such span longer than a window, requests for no
 * longer.
 */
public final class RetryBudget {

    /** What this proxy leaves of the bounds, as others count from other moments and on other clocks. */
    private static final double USED_RATIO_FRACTION = 0.8;

    private static final double USED_SLACK_FRACTION = 0.7;
    private static final int BUCKETS = 20;

    private final double ratio;
    private final double slack;
    private final double bucketMs;
    private final int[] requests = new int[BUCKETS + 1];
    private final int[] retries = new int[BUCKETS + 1];
    private long currentBucket = Long.MIN_VALUE;

    /**
     * A budget in which nothing has been spent.
     *
     * @param ratio the bound's share of requests
     * @param slack the bound's fixed part, for all proxies together, a window
     * @param windowMs the length of the sliding window, in milliseconds
     */
    public RetryBudget(double ratio, double slack, double windowMs) {
        this.ratio = ratio;
        this.slack = slack;
        this.bucketMs = windowMs / BUCKETS;
    }

    /** Counts a request of a client for this service. */
    public void countRequest(double nowMs) {
        requests[advanceTo(nowMs)]++;
    }

    /**
     * Takes one further arrival from the budget.
     *
     * @param proxyCount how many proxies share the bound
     * @return whether there was one left
     */
    public boolean tryRetry(double nowMs, int proxyCount) {
        int span = advanceTo(nowMs);
        int used = 0;
        int seen = 0;
        for (int i = 0; i <= BUCKETS; i++) {
            used += retries[i];
            seen += i == oldestBucket(span) ? 0 : requests[i];
        }
        if (used + 1 > USED_RATIO_FRACTION * ratio * seen + USED_SLACK_FRACTION * slack / Math.max(1, proxyCount)) {
            return false;
        }
        retries[span]++;
        return true;
    }

    /** Gives back a further arrival that was taken and did not take place; in the span in which it was taken. */
    public void giveBack(double nowMs) {
        int span = advanceTo(nowMs);
        retries[span] = Math.max(0, retries[span] - 1);
    }

    private static int oldestBucket(int span) {
        return (span + 1) % (BUCKETS + 1);
    }

    /** Empties the spans that have left the window and returns the place of the current one. */
    private int advanceTo(double nowMs) {
        long span = (long) Math.floor(nowMs / bucketMs);
        if (currentBucket == Long.MIN_VALUE || span - currentBucket > BUCKETS) {
            Arrays.fill(requests, 0);
            Arrays.fill(retries, 0);
            currentBucket = span;
        }
        while (currentBucket < span) {
            currentBucket++;
            int place = bucketOf(currentBucket);
            requests[place] = 0;
            retries[place] = 0;
        }
        return bucketOf(currentBucket);
    }

    private static int bucketOf(long span) {
        return (int) Math.floorMod(span, BUCKETS + 1L);
    }
}
