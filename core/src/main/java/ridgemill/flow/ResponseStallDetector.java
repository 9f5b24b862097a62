package ridgemill.flow;

/**
 * Judges a node's answer that comes in pieces. One that comes slowly is no dead node's; one that stands still is. While it is
 * held whole it may be asked for elsewhere, so it stands still soon; once it has begun to go on it can't be replaced, and is
 * given all the time in which it may yet go on. Times are in milliseconds.
 */
public final class ResponseStallDetector {

    /** Silence within an answer that is held whole, after which it is spoilt: nodes write theirs without a rest. */
    public static final double BUFFERED_LIMIT_MS = 400;
    /** Silence within one that goes on already. */
    public static final double STREAMED_LIMIT_MS = 4000;
    /** How often it is to be looked at. */
    public static final double CHECK_INTERVAL_MS = 100;

    private double lastMs;

    /** Some of it has come, or could not have come as it was not read. */
    public void progress(double nowMs) {
        lastMs = nowMs;
    }

    /** Whether it stands still for good; {@code streamed} says whether it goes on to its client already. */
    public boolean isStalled(double nowMs, boolean streamed) {
        return nowMs - lastMs >= (streamed ? STREAMED_LIMIT_MS : BUFFERED_LIMIT_MS);
    }
}
