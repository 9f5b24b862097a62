package ridgemill.policy;

/** The hysteresis level, stepped once an interval, and the held base that its rates are multiples of. */
public final class AdmissionLevel {

    /** Shares of bad fetches above which the level rises and below which it falls. */
    static final double RISE = 0.10;
    static final double FALL = 0.05;
    /** Fewer outcomes than this in an interval are a thin sample. */
    static final int THIN = 4;
    /** Standard deviations by which broken fetches may exceed what breaks elsewhere. */
    static final double CHANCE = 2;
    /** Intervals that a thin sample with a bad fetch waits to grow where balancers outnumber nodes. */
    static final int SPAN = 6;
    /** Refill rates of levels 1 and up, as multiples of the base. */
    static final double[] LADDER = {1.25, 1.0, 0.8, 0.6, 0.45, 0.3};
    /** What is left of the base after an interval at level 0 that did not reach it. */
    static final double BASE_DECAY = 0.98;
    /**
     * Growth of the base in an interval that could go to level 0 but in which the bank still refused: level 0
     * would let all that in at once and throttle again. Could harm where the origin recovers at a bound.
     */
    static final double BASE_GROWTH = 1.15;
    /**
     * Intervals with a sample that the base is learned from before the level may rise for the first time. A
     * base that has seen little is far too low: a start with a few late fetches then refused most misses for
     * half a minute. Could harm where a balancer starts while the origin is slow.
     */
    static final int LEARNED = 4;
    /** Smoothing of the rate whose peak the base is: one interval's peak is mostly luck. */
    static final double RATE_SMOOTH = 0.3;
    /** No base is lower, in fetches a second: a balancer that saw little must still try. */
    static final double BASE_FLOOR = 1;

    int level;
    double floor = BASE_FLOOR;
    double base = BASE_FLOOR;
    private double rate = -1;
    private int good, bad, broken, spans, learned;

    /** What outlives a restart: level, base, its smoothed rate a second, and intervals learned from. */
    public record Snapshot(int level, double baselinePerSecond, double smoothedPerSecond, int learnedIntervals) { }

    /** The level; 0 is unthrottled. */
    public int level() {
        return level;
    }

    /** What outlives a restart. */
    public Snapshot snapshot() {
        return new Snapshot(level, base, rate, learned);
    }

    /** Goes on where another life of this process was. */
    public void restore(Snapshot kept) {
        level = Math.max(0, Math.min(kept.level, LADDER.length));
        base = Math.max(floor, kept.baselinePerSecond);
        rate = kept.smoothedPerSecond;
        learned = kept.learnedIntervals;
    }

    /** Counts an outcome of one of our own fetches. */
    public void recordFetch(boolean wasGood) {
        good += wasGood ? 1 : 0;
        bad += wasGood ? 0 : 1;
    }

    /** Counts a fetch whose connection broke, to be judged before the next step. */
    public void recordBrokenFetch() {
        broken++;
    }

    /**
     * Of broken fetches only those count, as bad, that neither the share which breaks at the cache nodes
     * too nor chance explains: a network that breaks connections says nothing of the
     * origin's load, while an origin that cuts off what it can't take must still be throttled. Could
     * harm where origin and caches are overrun alike: late answers and time-outs alone then throttle.
     */
    public void classifyBrokenFetches(double usualBreaks) {
        double expected = usualBreaks * (good + bad + broken);
        bad += (int) Math.ceil(Math.max(0, broken - expected - CHANCE * Math.sqrt(expected)));
        broken = 0;
    }

    /** Ends an interval of so many milliseconds in which the bank refused so many. */
    public void endInterval(double intervalMs, int refusals) {
        int all = good + bad;
        if (level == 0) {
            double perS = good * 1000 / intervalMs;
            rate = rate < 0 ? perS : rate + RATE_SMOOTH * (perS - rate);
            base = Math.max(floor, Math.max(base * BASE_DECAY, rate));
            learned += all >= THIN ? 1 : 0;
        }
        if (floor < BASE_FLOOR && all < THIN && bad > 0 && ++spans < SPAN) {
            return;
        }
        spans = 0;
        if (all >= THIN && bad > RISE * all && (level > 0 || learned >= LEARNED)) {
            level = Math.min(level + 1, LADDER.length);
        } else if (all < THIN || bad < FALL * all) {
            if (level == 1 && refusals > 0) {
                base *= BASE_GROWTH;
            } else {
                level = Math.max(level - 1, 0);
            }
        }
        good = 0;
        bad = 0;
    }

    /** How many fetches a second the level allows; infinite at level 0. */
    public double allowedPerSecond() {
        return level == 0 ? Double.POSITIVE_INFINITY : base * LADDER[level - 1];
    }
}
