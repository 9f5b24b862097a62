package ridgemill.flow;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Limits on how slowly a node or a client may send. */
class TransferRateTest {

    @Test
    void bufferedResponseStallsSoonerThanAStreamedOne() {
        ResponseStallDetector detector = new ResponseStallDetector();
        detector.progress(1000);
        assertFalse(detector.isStalled(1000 + ResponseStallDetector.BUFFERED_LIMIT_MS - 1, false));
        assertTrue(detector.isStalled(1000 + ResponseStallDetector.BUFFERED_LIMIT_MS, false));
        assertFalse(detector.isStalled(1000 + ResponseStallDetector.STREAMED_LIMIT_MS - 1, true));
        assertTrue(detector.isStalled(1000 + ResponseStallDetector.STREAMED_LIMIT_MS, true));
        detector.progress(4000);
        assertFalse(detector.isStalled(4000 + ResponseStallDetector.STREAMED_LIMIT_MS - 1, true));
    }

    @Test
    void requestHasAGracePeriodAndThenAMinimumRate() {
        assertFalse(MinRequestRate.isTooSlow(MinRequestRate.GRACE_MS - 1, 0));
        assertTrue(MinRequestRate.isTooSlow(MinRequestRate.GRACE_MS, 100));
        assertFalse(MinRequestRate.isTooSlow(10_000, 640_000));
        assertTrue(MinRequestRate.isTooSlow(10_000, 159_999));
    }
}
