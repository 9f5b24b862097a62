package ridgemill.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The lab's command line. */
class LabMainTest {

    @Test
    void theDemonstrationRunsAndEnds() {
        assertEquals(0, Main.run("demo", "--plain", "--seconds", "3", "--rate", "50"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"frob", "demo --nope", "demo --seconds x", "demo --rate 0", "run /nowhere.scenario"})
    void aBadCommandLineIsOneLineAndCodeTwo(String line) {
        PrintStream usual = System.err;
        ByteArrayOutputStream said = new ByteArrayOutputStream();
        System.setErr(new PrintStream(said, true));
        try {
            assertEquals(2, Main.run(line.split(" ")));
        } finally {
            System.setErr(usual);
        }
        assertEquals(1, said.toString().lines().count(), said.toString());
        assertTrue(said.toString().startsWith("ridgemill-lab: "));
    }
}
