package ridgemill.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import org.junit.jupiter.api.Test;

class CoreWaitTest {

    private static final long MS = 1_000_000;

    @Test
    void theMostOfAnyOneThreadWithinTwoSecondsCounts() {
        try (CoreWait wait = new CoreWait()) {
            wait.take(0, Map.of("1", 0L, "2", 500 * MS));
            wait.take(1000, Map.of("1", 300 * MS, "2", 505 * MS, "3", 9_000 * MS));
            assertEquals(300, wait.worstMs(), "what a new thread waited before it was first seen does not count");
            wait.take(2000, Map.of("1", 350 * MS, "2", 510 * MS));
            assertEquals(350, wait.worstMs());
            wait.take(4500, Map.of("1", 900 * MS));
            assertEquals(350, wait.worstMs(), "what was waited over a longer time is no one's wait");
            wait.forget();
            wait.take(5000, Map.of("1", 990 * MS));
            assertEquals(0, wait.worstMs());
        }
    }
}
