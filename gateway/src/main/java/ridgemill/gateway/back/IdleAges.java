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
public final class IdleAges {

    private static final double FIRST_MS = 10;
    private static final double STEP = 1.4;
    private static final int AGES = 32;
    /** No younger connection is too old: each handshake costs more than a reset now and then. */
    private static final double FLOOR_MS = 40;
    /** Uses that every age is taken to have had and to have gone well, so that one break proves nothing. */
    private static final double PRIOR = 10;
    /** By how much a kept connection may break more often than a new one, for the handshake that it saves. */
    private static final double MARGIN = 0.1;
    private static final double MEMORY_MS = 20_000;

    /** Uses and breaks by idle time; bucket 0 is for new connections. */
    private final double[] uses = new double[AGES + 1];
    private final double[] breaks = new double[AGES + 1];
    private double limitMs = Double.POSITIVE_INFINITY;
    private long updated;

    /**
     * Records that an exchange has ended.
     *
     * @param idleMs how long its connection had been idle before it, in milliseconds; 0 for a new connection
     * @param broke whether the connection broke before any byte of the response arrived
     */
    public void used(double idleMs, boolean broke, long nowNanos) {
        fade(nowNanos);
        int age = idleMs <= 0 ? 0 : ageOf(idleMs);
        uses[age]++;
        breaks[age] += broke ? 1 : 0;
    }

    /** The idle time, in milliseconds, from which on a connection must not be reused; infinite if there is no limit. */
    public double limitMs(long nowNanos) {
        if (nowNanos - updated > TimeUnit.MILLISECONDS.toNanos(100)) {
            fade(nowNanos);
        }
        return limitMs;
    }

    private void fade(long nowNanos) {
        double kept = Math.exp(-Math.max(0, nowNanos - updated) / 1e6 / MEMORY_MS);
        updated = nowNanos;
        for (int i = 0; i < uses.length; i++) {
            uses[i] *= kept;
            breaks[i] *= kept;
        }
        limitMs = Double.POSITIVE_INFINITY;
        for (int i = AGES; i > 0 && boundMs(i) >= FLOOR_MS; i--) {
            if (share(i) > share(0) + MARGIN) {
                limitMs = boundMs(i);
            }
        }
    }

    private double share(int age) {
        return breaks[age] / (uses[age] + PRIOR);
    }

    private static int ageOf(double idleMs) {
        return (int) Math.max(1, Math.min(AGES, 2 + Math.floor(Math.log(idleMs / FIRST_MS) / Math.log(STEP))));
    }

    /** The shortest idle time of a bucket, in milliseconds. */
    private static double boundMs(int age) {
        return age == 1 ? 0 : FIRST_MS * Math.pow(STEP, age - 2);
    }
}
