package ridgemill.gateway.back;

import java.util.concurrent.TimeUnit;

/**
 * Estimates the idle time after which keep-alive connections tend to be dead. Hosts and middleboxes may close idle
 * connections long before the configured timeout; the close then crosses the next request on the wire, and that request
 * ends as a reset. An idle time at which connections break clearly more often than new connections do is too long. This
 * also covers hosts that restart unnoticed and NAT devices that drop their mappings. If requests, and not their
 * connections, cause the breaks and fall on one idle time by chance, the estimate is too short and costs extra
 * handshakes; therefore idle times below a minimum are always allowed, and old samples decay.
 */
public final class IdleTimeoutEstimator {

    private static final double FIRST_BUCKET_MS = 10;
    private static final double BUCKET_GROWTH = 1.4;
    private static final int BUCKETS = 32;
    /** Lower bound of the limit: below it, the handshakes would cost more than an occasional reset. */
    private static final double MIN_LIMIT_MS = 40;
    /** Successful uses that are assumed for each bucket, so that a single break has little weight. */
    private static final double PRIOR_SUCCESSES = 10;
    /**
     * By how much the break rate of reused connections may exceed that of new ones; this is accepted because reuse
     * saves a handshake.
     */
    private static final double BREAK_RATE_MARGIN = 0.1;
    /** Time constant of the exponential decay of the samples. */
    private static final double DECAY_TIME_MS = 20_000;

    /** Uses and breaks by idle time; bucket 0 is for new connections. */
    private final double[] uses = new double[BUCKETS + 1];
    private final double[] breaks = new double[BUCKETS + 1];
    private double limitMs = Double.POSITIVE_INFINITY;
    private long lastDecayNanos;

    /**
     * Records that an exchange has ended.
     *
     * @param idleMs how long its connection had been idle before it, in milliseconds; 0 for a new connection
     * @param broke whether the connection broke before any byte of the response arrived
     */
    public void recordUse(double idleMs, boolean broke, long nowNanos) {
        decay(nowNanos);
        int bucket = idleMs <= 0 ? 0 : bucketOf(idleMs);
        uses[bucket]++;
        breaks[bucket] += broke ? 1 : 0;
    }

    /** The idle time, in milliseconds, from which on a connection must not be reused; infinite if there is no limit. */
    public double limitMs(long nowNanos) {
        if (nowNanos - lastDecayNanos > TimeUnit.MILLISECONDS.toNanos(100)) {
            decay(nowNanos);
        }
        return limitMs;
    }

    private void decay(long nowNanos) {
        double factor = Math.exp(-Math.max(0, nowNanos - lastDecayNanos) / 1e6 / DECAY_TIME_MS);
        lastDecayNanos = nowNanos;
        for (int i = 0; i < uses.length; i++) {
            uses[i] *= factor;
            breaks[i] *= factor;
        }
        limitMs = Double.POSITIVE_INFINITY;
        for (int i = BUCKETS; i > 0 && minIdleMs(i) >= MIN_LIMIT_MS; i--) {
            if (breakRate(i) > breakRate(0) + BREAK_RATE_MARGIN) {
                limitMs = minIdleMs(i);
            }
        }
    }

    private double breakRate(int bucket) {
        return breaks[bucket] / (uses[bucket] + PRIOR_SUCCESSES);
    }

    private static int bucketOf(double idleMs) {
        return (int) Math.max(1, Math.min(BUCKETS,
                2 + Math.floor(Math.log(idleMs / FIRST_BUCKET_MS) / Math.log(BUCKET_GROWTH))));
    }

    /** The shortest idle time of a bucket, in milliseconds. */
    private static double minIdleMs(int bucket) {
        return bucket == 1 ? 0 : FIRST_BUCKET_MS * Math.pow(BUCKET_GROWTH, bucket - 2);
    }
}
