package ridgemill.policy;

/** Throttling level with hysteresis, updated once per interval, and the baseline rate that it scales. */
public final class AdmissionLevel {

    /** Shares of bad fetches above which the level rises and below which it falls. */
    static final double RISE_SHARE = 0.10;
    static final double FALL_SHARE = 0.05;
    /** Fewer outcomes than this in an interval are too small a sample. */
    static final int MIN_SAMPLE = 4;
    /** Standard deviations by which broken fetches may exceed the share that breaks at cache nodes. */
    static final double BROKEN_DEVIATIONS = 2;
    /** Intervals over which a small sample with a bad fetch may grow where proxies outnumber nodes. */
    static final int MAX_SAMPLE_INTERVALS = 6;
    /** Refill rates of levels 1 and up, as multiples of the baseline. */
    static final double[] LEVEL_FACTORS = {1.25, 1.0, 0.8, 0.6, 0.45, 0.3};
    /** Factor on the baseline after an interval at level 0 that did not reach it. */
    static final double BASELINE_DECAY = 0.98;
    /**
     * Growth of the baseline in an interval that would reach level 0 but still refused fetches: level 0 would
     * admit them all at once and throttle again. Slows the return of an origin that recovers suddenly.
     */
    static final double BASELINE_GROWTH = 1.15;
    /**
     * Intervals with a sample before the level may rise for the first time. A baseline learned from less is
     * far too low: after a start with a few late fetches most misses were refused for half a minute. Delays
     * throttling where a proxy starts while the origin is slow.
     */
    static final int MIN_LEARNED = 4;
    /** Weight of a new interval in the rate whose peak is the baseline: single peaks are mostly chance. */
    static final double RATE_SMOOTHING = 0.3;
    /** Lowest baseline, in fetches per second: a proxy that has seen little traffic must still try. */
    static final double MIN_BASELINE = 1;

    int level;
    double minBaseline = MIN_BASELINE;
    double baseline = MIN_BASELINE;
    private double smoothedRate = -1;
    private int good, bad, broken, intervals, learnedIntervals;

    /** State kept across restarts; the baseline and the smoothed rate are in fetches per second. */
    public record Snapshot(int level, double baseline, double smoothedRate, int learnedIntervals) { }

    /** The level; 0 means no throttling. */
    public int level() {
        return level;
    }

    /** The state to keep across a restart. */
    public Snapshot snapshot() {
        return new Snapshot(level, baseline, smoothedRate, learnedIntervals);
    }

    /** Continues from the state of an earlier run. */
    public void restore(Snapshot snapshot) {
        level = Math.max(0, Math.min(snapshot.level, LEVEL_FACTORS.length));
        baseline = Math.max(minBaseline, snapshot.baseline);
        smoothedRate = snapshot.smoothedRate;
        learnedIntervals = snapshot.learnedIntervals;
    }

    /** Counts a fetch of this proxy; good is one that succeeded within its target latency. */
    public void recordFetch(boolean isGood) {
        good += isGood ? 1 : 0;
        bad += isGood ? 0 : 1;
    }

    /** Counts a fetch whose connection broke, for {@link #classifyBrokenFetches}. */
    public void recordBrokenFetch() {
        broken++;
    }

    /**
     * Counts broken fetches as bad beyond the share that also breaks at the cache nodes and beyond chance.
     * Breaks by the network say nothing of the origin's load, but an origin that cuts off excess fetches must
     * be throttled. If origin and cache nodes are overloaded alike, only late answers and timeouts throttle.
     */
    public void classifyBrokenFetches(double medianBrokenShare) {
        double expected = medianBrokenShare * (good + bad + broken);
        bad += (int) Math.ceil(Math.max(0, broken - expected - BROKEN_DEVIATIONS * Math.sqrt(expected)));
        broken = 0;
    }

    /** Updates the level after an interval of that length in which that many fetches got no token. */
    public void endInterval(double intervalMs, int refusals) {
        int all = good + bad;
        if (level == 0) {
            double rate = good * 1000 / intervalMs;
            smoothedRate = smoothedRate < 0 ? rate : smoothedRate + RATE_SMOOTHING * (rate - smoothedRate);
            baseline = Math.max(minBaseline, Math.max(baseline * BASELINE_DECAY, smoothedRate));
            learnedIntervals += all >= MIN_SAMPLE ? 1 : 0;
        }
        if (minBaseline < MIN_BASELINE && all < MIN_SAMPLE && bad > 0 && ++intervals < MAX_SAMPLE_INTERVALS) {
            return;
        }
        intervals = 0;
        if (all >= MIN_SAMPLE && bad > RISE_SHARE * all && (level > 0 || learnedIntervals >= MIN_LEARNED)) {
            level = Math.min(level + 1, LEVEL_FACTORS.length);
        } else if (all < MIN_SAMPLE || bad < FALL_SHARE * all) {
            if (level == 1 && refusals > 0) {
                baseline *= BASELINE_GROWTH;
            } else {
                level = Math.max(level - 1, 0);
            }
        }
        good = 0;
        bad = 0;
    }

    /** Fetches per second that the level allows; infinite at level 0. */
    public double allowedPerSecond() {
        return level == 0 ? Double.POSITIVE_INFINITY : baseline * LEVEL_FACTORS[level - 1];
    }
}
