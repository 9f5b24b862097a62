package ridgemill.flow;

/**
 * Detects that a response of a node has stalled. A node that sends slowly is alive; one that sends nothing for too long
 * is not. A response that is still buffered can be requested from another node, so its limit is short. A response that
 * is already being streamed to the client cannot be replaced, so it gets all the time in which it may still continue.
 */
public final class ResponseStallDetector {

    /** Silence after which a buffered response is discarded: nodes write a response without pauses. */
    public static final double BUFFERED_LIMIT_MS = 400;
    /** Silence after which a response that is being streamed to the client is ended. */
    public static final double STREAMED_LIMIT_MS = 4000;
    /** How often to call {@link #isStalled}. */
    public static final double CHECK_INTERVAL_MS = 100;

    private double lastMs;

    /** Records that data has arrived, or that none could arrive because reading was paused. */
    public void progress(double nowMs) {
        lastMs = nowMs;
    }

    /** Whether the response has stalled; {@code streamed} says whether it is already being streamed to the client. */
    public boolean isStalled(double nowMs, boolean streamed) {
        return nowMs - lastMs >= (streamed ? STREAMED_LIMIT_MS : BUFFERED_LIMIT_MS);
    }
}
