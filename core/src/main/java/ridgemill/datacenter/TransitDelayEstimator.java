package ridgemill.datacenter;

/**
 * How long messages of one connection were on their way beyond the least that any of them took, from the sender's stamps
 * and the receiver's clock, which need not agree: only differences between messages are compared, as in LEDBAT (RFC 6817,
 * section 3.4.2). A message that a stall held back for 10 s is seen to be 10 s old. The least is kept for some minutes and
 * not for ever, since two clocks drift.
 */
public final class TransitDelayEstimator {

    private static final double WINDOW_MS = 120_000;

    private double minDifference = Double.POSITIVE_INFINITY;
    private double previousMinDifference = Double.POSITIVE_INFINITY;
    private double windowStartMs = Double.NEGATIVE_INFINITY;

    /**
     * A message has come.
     *
     * @param stampMs the sender's clock when it was written, of any origin
     * @param nowMs the receiver's clock, of any origin
     * @return by how much longer it took than the quickest of late, 0 or more
     */
    public double excessMs(double stampMs, double nowMs) {
        double d = nowMs - stampMs;
        if (nowMs - windowStartMs > WINDOW_MS) {
            previousMinDifference = minDifference;
            minDifference = d;
            windowStartMs = nowMs;
        }
        minDifference = Math.min(minDifference, d);
        return Math.max(0, d - Math.min(minDifference, previousMinDifference));
    }
}
