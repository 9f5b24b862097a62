package ridgemill.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What a scenario may say, and that what it may not is told with its line. */
class ScenarioParserTest {

    @Test
    void everyStatementIsRead() {
        Scenario s = ScenarioParser.parse("all", """
                title  two words   # and a remark
                seed 9
                proxies 3 processes
                nodes 5 read 3ms queue 7 cold 2s filled
                store cores 4 write 20ms
                links
                load 50/s for 2500ms keys 10 skew 1 pipeline 2 leave 0.1 retries 1
                slack 100ms

                at 1s    kill c1
                at 500ms link all loss 0.1 delay 5ms
                expect served all >= 0.5
                expect late supply-status <= 0.2
                """);
        assertEquals("two words", s.title());
        assertEquals(9, s.seed());
        assertEquals(3, s.proxies());
        assertTrue(s.processes() && s.linked() && s.prefilled());
        assertEquals(3, s.cache().readMs());
        assertEquals(7, s.cache().queue());
        assertEquals(2000, s.cache().coldMs());
        assertEquals(4, s.store().cores());
        assertEquals(20, s.store().writeMs());
        assertEquals(2.5, s.load().seconds());
        assertEquals(2, s.load().pipeline());
        assertEquals(100, s.slackMs());
        assertEquals(List.of("kill", "c1"), s.steps().get(0).words());
        assertEquals(500, s.steps().get(1).atMs());
        assertEquals(12, s.expectations().get(0).line());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "nonsense 1|unknown statement: nonsense",
        "seed|one value is wanted here",
        "seed x|not a number: x",
        "proxies 0|proxies takes a number",
        "proxies 2 threads|proxies takes a number",
        "nodes 3 read|read needs a value",
        "nodes 3 read 5|not a time, such as 250ms or 2s: 5",
        "nodes 3 mood 5|unknown: mood",
        "load 100 for 5s|load reads as",
        "load 100/s for 5s mood 1|unknown: mood",
        "at 1s dance c1|unknown action: dance",
        "at 1s kill|kill takes 1 values",
        "at 1s fault c1 hiccup 0.5|unknown fault: hiccup",
        "at 1s fault c1 noise much|not a number: much",
        "at soon kill c1|not a time",
        "at 1s link all cut|there are no links",
        "expect joy all >= 1|expect reads as",
        "expect served all > 1|expect reads as",
        "expect served nobody >= 1|no such class: nobody"})
    void whatMakesNoSenseIsToldWithItsLine(String line, String reason) {
        ScenarioException refused = assertThrows(ScenarioException.class,
                () -> ScenarioParser.parse("bad", "title x\n" + line));
        assertTrue(refused.getMessage().startsWith("bad:2: "), refused.getMessage());
        assertTrue(refused.getMessage().contains(reason), refused.getMessage());
    }

    @Test
    void aStatementStandsOnce() {
        assertTrue(assertThrows(ScenarioException.class, () -> ScenarioParser.parse("bad", "seed 1\nseed 2"))
                .getMessage().contains("bad:2: seed stands on line 1 already"));
    }
}
