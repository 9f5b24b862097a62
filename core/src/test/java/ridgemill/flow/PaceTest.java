package ridgemill.flow;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class PaceTest {

    @Test
    void anAnswerStandsStillSoonerWhileItCanBeReplaced() {
        AnswerPace pace = new AnswerPace();
        pace.progress(1000);
        assertFalse(pace.standsStill(1000 + AnswerPace.HELD_MS - 1, false));
        assertTrue(pace.standsStill(1000 + AnswerPace.HELD_MS, false));
        assertFalse(pace.standsStill(1000 + AnswerPace.STREAMED_MS - 1, true));
        assertTrue(pace.standsStill(1000 + AnswerPace.STREAMED_MS, true));
        pace.progress(4000);
        assertFalse(pace.standsStill(4000 + AnswerPace.STREAMED_MS - 1, true));
    }

    @Test
    void aRequestIsTimedAsAWholeAtFirstAndByItsPaceThen() {
        assertFalse(RequestPace.isTooSlow(RequestPace.GRACE_MS - 1, 0));
        assertTrue(RequestPace.isTooSlow(RequestPace.GRACE_MS, 100));
        assertFalse(RequestPace.isTooSlow(10_000, 640_000));
        assertTrue(RequestPace.isTooSlow(10_000, 159_999));
    }
}
