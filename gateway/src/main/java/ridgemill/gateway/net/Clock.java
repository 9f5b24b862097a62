package ridgemill.gateway.net;

import java.time.Instant;

/**
 * Unix time in milliseconds that never runs back: read once from the wall clock and carried on by the monotonic one.
 * Start times in the host list are Unix times, so they compare with it as they are, and a step of the wall clock
 * moves no deadline.
 */
public final class Clock {

    private static final double NANOS_PER_MS = 1e6;
    private static final double MS_PER_S = 1e3;

    /** Null but in tests of several machines on one; not loaded then. */
    private static final ClockSkew SKEW = System.getProperty(ClockSkew.PROPERTY) == null ? null : ClockSkew.ofProcess();

    private final long originNanos = nanos();
    private final double originMs;

    public Clock() {
        Instant now = Instant.now();
        originMs = now.getEpochSecond() * MS_PER_S + now.getNano() / NANOS_PER_MS + (SKEW == null ? 0 : SKEW.wallOffsetMs());
    }

    private static long nanos() {
        return SKEW == null ? System.nanoTime() : SKEW.nanos();
    }

    public double now() {
        return originMs + (nanos() - originNanos) / NANOS_PER_MS;
    }

    /** Nanoseconds until a time of this clock, rounded up so that a timer never fires early; 0 if it has passed. */
    public long nanosUntil(double atMs) {
        return Math.max(0, (long) Math.ceil((atMs - now()) * NANOS_PER_MS));
    }
}
