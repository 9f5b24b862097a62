package ridgemill.lease;

/**
 * Timestamps of one proxy's clock that other proxies echo. An answer that echoes a timestamp was sent after it,
 * whatever the clocks' offsets and the delay in transit. A timestamp is the number of milliseconds since an origin,
 * truncated to 32 bits.
 */
public final class EchoTimestamps {

    private final double origin;

    /** Timestamps count from this time. */
    public EchoTimestamps(double now) {
        this.origin = now;
    }

    /** Returns the timestamp of this time. */
    public int timestamp(double now) {
        return (int) (long) (now - origin);
    }

    /** Returns how long ago a timestamp was sent; infinite for one that lies in the future. */
    public double ageMs(double now, int echoed) {
        int age = timestamp(now) - echoed;
        return age < 0 ? Double.POSITIVE_INFINITY : age;
    }

    /**
     * Returns whether a timestamp of a peer replaces the one received before.
     *
     * @param agoMs how long ago the previous one was received
     * @param expiryMs age after which the previous one is replaced in any case
     */
    public static boolean supersedes(int next, int previous, double agoMs, double expiryMs) {
        return next - previous > 0 || agoMs > expiryMs;
    }
}
