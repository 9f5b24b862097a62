package ridgemill.flow;

/** The minimum rate at which a client must send a request: a grace period for the whole request, then a least rate. */
public final class MinRequestRate {

    /** 2 s for the head, and 1.5 s for what the network and a busy event loop add. */
    public static final double GRACE_MS = 3500;
    /**
     * Minimum average rate after the grace period: a quarter of the slowest rate that clients are expected to send at.
     */
    public static final double MIN_BYTES_PER_SECOND = 16_000;

    private MinRequestRate() { }

    /** Whether a request that started {@code elapsedMs} ago and of which {@code bytes} have arrived is too slow. */
    public static boolean isTooSlow(double elapsedMs, long bytes) {
        return elapsedMs >= GRACE_MS && bytes < MIN_BYTES_PER_SECOND * elapsedMs / 1000;
    }
}
