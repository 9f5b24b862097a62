package ridgemill.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ridgemill.gateway.Config;

/** The lab's command line. */
class LabMainTest {

    @Test
    void theDemonstrationRunsAndEnds() {
        assertEquals(0, Main.run("demo", "--plain", "--seconds", "3", "--rate", "50"));
    }

    @Test
    void aSiteWritesAConfigurationThatAProxyCanStartWith(@TempDir Path directory) throws Exception {
        try (Site site = Site.start(3, 2, directory)) {
            for (Path file : site.files()) {
                Config config = Config.read(file.toString(), Map.of());
                assertEquals(4, config.knownHosts().hosts().size(), "three nodes and the store");
                assertEquals(2, config.peers().size());
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"frob", "demo --nope", "demo --seconds x", "demo --rate 0", "site /nowhere", "run /nowhere.scenario"})
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
