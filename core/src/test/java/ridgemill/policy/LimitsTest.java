package ridgemill.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Whoever is on call must be able to read the module at night. */
class LimitsTest {

    private static final Path MODULE = Path.of("src/main/java/ridgemill/policy/Decide.java");

    @Test
    void moduleStaysShort() throws IOException {
        long lines = Files.readAllLines(MODULE).stream().filter(l -> !l.isBlank()).count();
        assertTrue(lines > 0 && lines <= 1200, lines + " non-blank lines");
    }

    @Test
    void moduleLinesStayNarrow() throws IOException {
        List<String> wide = Files.readAllLines(MODULE).stream().filter(l -> l.length() > 110).toList();
        assertTrue(wide.isEmpty(), wide.toString());
    }

    @Test
    void moduleNamesItsInterfaceAndUsesTheJdkAlone() throws IOException {
        String text = Files.readString(MODULE);
        assertTrue(text.indexOf("Router.java") < text.indexOf("class Decide"));
        assertTrue(text.lines().filter(l -> l.startsWith("import "))
                .allMatch(l -> l.startsWith("import java.util.") || l.equals("import java.nio.ByteBuffer;")));
    }
}
