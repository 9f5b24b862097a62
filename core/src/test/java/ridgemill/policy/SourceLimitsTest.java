package ridgemill.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Limits on the size of the decision logic, so that an engineer on call can read all of it. */
class SourceLimitsTest {

    private static final Path FOLDER = Path.of("src/main/java/ridgemill/policy");
    private static final Path ROUTER = FOLDER.resolve("BalancingRouter.java");
    /** All files that hold the decision logic, as the deploy file lists them. */
    private static final List<Path> FILES = List.of(ROUTER, FOLDER.resolve("AdmissionLevel.java"),
            FOLDER.resolve("PriorityTokenBucket.java"), FOLDER.resolve("RendezvousHash.java"));

    private static List<String> lines() throws IOException {
        List<String> all = new ArrayList<>();
        for (Path file : FILES) {
            all.addAll(Files.readAllLines(file));
        }
        return all;
    }

    @Test
    void sourceStaysShort() throws IOException {
        long lines = lines().stream().filter(l -> !l.isBlank()).count();
        assertTrue(lines > 0 && lines <= 1200, lines + " non-blank lines");
    }

    @Test
    void linesStayNarrow() throws IOException {
        List<String> tooWide = lines().stream().filter(l -> l.length() > 110).toList();
        assertTrue(tooWide.isEmpty(), tooWide.toString());
    }

    @Test
    void routerNamesItsInterfaceAndUsesOnlyTheJdk() throws IOException {
        String text = Files.readString(ROUTER);
        assertTrue(text.indexOf("Router.java") < text.indexOf("class BalancingRouter"));
        assertTrue(lines().stream().filter(l -> l.startsWith("import "))
                .allMatch(l -> l.startsWith("import java.util.") || l.equals("import java.nio.ByteBuffer;")));
    }

    @Test
    void deployFileListsAllFiles() throws IOException {
        String deploy = Files.readString(Path.of("../deploy/balancer.toml"));
        for (Path file : FILES) {
            assertTrue(deploy.contains("\"core/" + file + "\""), file + " is not listed");
        }
    }
}
