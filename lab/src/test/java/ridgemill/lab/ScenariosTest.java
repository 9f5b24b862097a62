package ridgemill.lab;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Every scenario that comes with the program: the rules are kept, and clients get what is expected. */
class ScenariosTest {

    static Stream<String> names() {
        return Scenarios.NAMES.stream();
    }

    @ParameterizedTest
    @MethodSource("names")
    void passes(String name) throws Exception {
        ScenarioReport report = ScenarioRun.play(Scenarios.named(name));
        System.out.println(report);
        assertTrue(report.passed(), report::toString);
    }
}
