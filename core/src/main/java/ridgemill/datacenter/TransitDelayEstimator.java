package ridgemill.datacenter;

/**
 * Estimates how much longer messages of one connection were in transit than the fastest of them, from the sender's
 * timestamps and the receiver's clock. The clocks need not agree: only differences between messages are compared, as in
 * LEDBAT (RFC 6817, section 3.4.2). A message that a stall held back for 10 s is recognised as 10 s old. The minimum is
 * kept for a few minutes only, because the two clocks drift.
 */
public final class TransitDelayEstimator {

    private static final double WINDOW_MS = 120_000;

    private double minDifference = Double.POSITIVE_INFINITY;
    private double previousMinDifference = Double.POSITIVE_INFINITY;
    private double windowStartMs = Double.NEGATIVE_INFINITY;

    /**
     * A message has arrived.
     *
     * @param stampMs the sender's clock when the message was written, of any origin
     * @param nowMs the receiver's clock, of any origin
     * @return how much longer it took than the fastest recent message, in milliseconds, 0 or more
     */
    public double excessMs(double stampMs, double nowMs) {
        double differenceMs = nowMs - stampMs;
        if (nowMs - windowStartMs > WINDOW_MS) {
            previousMinDifference = minDifference;
            minDifference = differenceMs;
            windowStartMs = nowMs;
        }
        minDifference = Math.min(minDifference, differenceMs);
        return Math.max(0, differenceMs - Math.min(minDifference, previousMinDifference));
    }
}
