package ridgemill.flow;

/** How slowly a client may send a request: by its whole time at first, then by a least rate. Milliseconds and bytes. */
public final class MinRequestRate {

    /** A head may take 2 s; so much more for what the network and a loaded loop add. */
    public static final double GRACE_MS = 3500;
    /** From then on so many bytes a second, all told: a quarter of the slowest rate that clients mean to send at. */
    public static final double MIN_BYTES_PER_SECOND = 16_000;

    private MinRequestRate() { }

    /** Whether a request that began so long ago, and of which so much has come, is too slow to be waited for. */
    public static boolean isTooSlow(double elapsedMs, long bytes) {
        return elapsedMs >= GRACE_MS && bytes < MIN_BYTES_PER_SECOND * elapsedMs / 1000;
    }
}
