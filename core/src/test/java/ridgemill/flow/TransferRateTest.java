package ridgemill.flow;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class TransferRateTest {

    @Test
    void anAnswerStandsStillSoonerWhileItCanBeReplaced() {
        ResponseStallDetector pace = new ResponseStallDetector();
        pace.progress(1000);
        assertFalse(pace.isStalled(1000 + ResponseStallDetector.BUFFERED_LIMIT_MS - 1, false));
        assertTrue(pace.isStalled(1000 + ResponseStallDetector.BUFFERED_LIMIT_MS, false));
        assertFalse(pace.isStalled(1000 + ResponseStallDetector.STREAMED_LIMIT_MS - 1, true));
        assertTrue(pace.isStalled(1000 + ResponseStallDetector.STREAMED_LIMIT_MS, true));
        pace.progress(4000);
        assertFalse(pace.isStalled(4000 + ResponseStallDetector.STREAMED_LIMIT_MS - 1, true));
    }

    @Test
    void aRequestIsTimedAsAWholeAtFirstAndByItsPaceThen() {
        assertFalse(MinRequestRate.isTooSlow(MinRequestRate.GRACE_MS - 1, 0));
        assertTrue(MinRequestRate.isTooSlow(MinRequestRate.GRACE_MS, 100));
        assertFalse(MinRequestRate.isTooSlow(10_000, 640_000));
        assertTrue(MinRequestRate.isTooSlow(10_000, 159_999));
    }
}
