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
    private static final double RATIO_USED = 0.8;

    private static final double SLACK_USED = 0.7;
    private static final int SPANS = 20;

    private final double ratio;
    private final double slack;
    private final double spanMs;
    private final int[] requests = new int[SPANS + 1];
    private final int[] repeats = new int[SPANS + 1];
    private long currentSpan = Long.MIN_VALUE;

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
        this.spanMs = windowMs / SPANS;
    }

    /** Counts a request of a client for this service. */
    public void countRequest(double nowMs) {
        requests[moveTo(nowMs)]++;
    }

    /**
     * Takes one further arrival from the budget.
     *
     * @param proxyCount how many proxies share the bound
     * @return whether there was one left
     */
    public boolean tryRepeat(double nowMs, int proxyCount) {
        int span = moveTo(nowMs);
        int used = 0;
        int seen = 0;
        for (int i = 0; i <= SPANS; i++) {
            used += repeats[i];
            seen += i == oldest(span) ? 0 : requests[i];
        }
        if (used + 1 > RATIO_USED * ratio * seen + SLACK_USED * slack / Math.max(1, proxyCount)) {
            return false;
        }
        repeats[span]++;
        return true;
    }

    /** Gives back a further arrival that was taken and did not take place; in the span in which it was taken. */
    public void giveBack(double nowMs) {
        int span = moveTo(nowMs);
        repeats[span] = Math.max(0, repeats[span] - 1);
    }

    private static int oldest(int span) {
        return (span + 1) % (SPANS + 1);
    }

    /** Empties the spans that have left the window and returns the place of the current one. */
    private int moveTo(double nowMs) {
        long span = (long) Math.floor(nowMs / spanMs);
        if (currentSpan == Long.MIN_VALUE || span - currentSpan > SPANS) {
            Arrays.fill(requests, 0);
            Arrays.fill(repeats, 0);
            currentSpan = span;
        }
        while (currentSpan < span) {
            currentSpan++;
            int place = place(currentSpan);
            requests[place] = 0;
            repeats[place] = 0;
        }
        return place(currentSpan);
    }

    private static int place(long span) {
        return (int) Math.floorMod(span, SPANS + 1L);
    }
}
