package ridgemill.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class StolenTimeTest {

    private static List<String> stat(long first, long second) {
        return List.of(
                "cpu  9 9 9 9 9 9 9 " + (first + second) + " 0 0",
                "cpu0 86230 0 5207 86383 50 0 2758 " + first + " 0 0",
                "cpu1 85154 0 5093 87447 46 0 1833 " + second + " 0 0",
                "intr 1 2 3",
                "ctxt 7");
    }

    @Test
    void theMostOfAnyOneProcessorWithinTwoSecondsCounts() {
        try (StolenTime stolen = new StolenTime()) {
            stolen.take(0, stat(100, 500));
            stolen.take(1000, stat(130, 505));
            assertEquals(300, stolen.worstMs());
            stolen.take(1900, stat(140, 530));
            assertEquals(400, stolen.worstMs());
            stolen.take(4500, stat(220, 540));
            assertEquals(400, stolen.worstMs(), "what was stolen over a longer time is no one's wait");
            stolen.forget();
            stolen.take(5000, stat(220, 540));
            stolen.take(5050, List.of("cpu  1 2 3", "cpu0 1 2 3", "cpu1 1 2 3"));
            assertEquals(0, stolen.worstMs(), "a system that does not tell");
        }
    }
}
