package ridgemill.gateway.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import ridgemill.serviceclass.PlatformConstraints;
import ridgemill.policy.Router.Effect;
import ridgemill.policy.Router.DeduplicationScope;
import ridgemill.policy.Router.ServiceClass;

/** A table of bad files: each is refused at its place, by its rule, with a reason and a way out. */
class BadFilesTest {

    record Bad(String name, int line, String rule, String part, String text) {
        @Override
        public String toString() {
            return name;
        }
    }

    static List<Bad> table() throws IOException {
        String all;
        try (InputStream in = BadFilesTest.class.getResourceAsStream("/bad-operator-files.txt")) {
            all = new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
        List<Bad> table = new ArrayList<>();
        for (String block : Arrays.asList(all.split("(?m)^== ")).subList(1, all.split("(?m)^== ").length)) {
            String[] head = block.lines().findFirst().orElseThrow().split(" \\| ", 4);
            table.add(new Bad(head[0], Integer.parseInt(head[1]), head[2], head[3], block.substring(block.indexOf('\n') + 1)));
        }
        return table;
    }

    @Test
    void theTableIsLarge() throws IOException {
        assertTrue(table().size() >= 60, table().size() + " files");
    }

    @ParameterizedTest
    @MethodSource("table")
    void isRefused(Bad bad) {
        OperatorFileException refused = assertThrows(OperatorFileException.class,
                () -> OperatorFile.parse("f.toml", bad.text(), PlatformConstraints.UNKNOWN));
        List<Problem> fitting = refused.problems().stream().filter(p -> p.rule().equals(bad.rule())
                && p.reason().concat("; ").concat(p.wayOut()).contains(bad.part())).toList();
        assertFalse(fitting.isEmpty(), refused.getMessage());
        assertTrue(fitting.stream().anyMatch(p -> p.line() == bad.line()), refused.getMessage());
        refused.problems().forEach(p -> {
            assertFalse(p.wayOut().isBlank());
            assertEquals(1, p.toString().lines().count(), p.toString());
        });
    }

    @Test
    void allProblemsAreToldInOneGoAndInTheFilesOrder() {
        List<Problem> problems = assertThrows(OperatorFileException.class, () -> OperatorFile.parse("f.toml", """
                [classes.a]
                effect = "safe"
                second-copy = true
                total = 5
                [limits]
                in-flight = 0
                [[route]]
                name = "r"
                path = "x"
                """, PlatformConstraints.UNKNOWN)).problems();
        assertEquals(List.of(3, 4, 6, 9), problems.stream().map(Problem::line).collect(Collectors.toList()));
        assertEquals("f.toml:3", problems.get(0).place().substring(0, 8));
    }

    @Test
    void thePlatformIsNotContradicted() {
        PlatformConstraints platform = new PlatformConstraints(Map.of("pay", new ServiceClass("pay", 500, 0, 1500, 1, 0, Effect.KEYED,
                DeduplicationScope.ALL, 6000, false)), 3, 65536);
        List<Problem> problems = assertThrows(OperatorFileException.class, () -> OperatorFile.parse("f.toml", """
                [classes.pay]
                effect = "safe"
                total = "2s"
                attempts = 4
                """, platform)).problems();
        assertEquals(List.of("platform", "platform", "platform"), problems.stream().map(Problem::rule).toList());
        assertTrue(problems.get(0).reason().contains("the platform says that this class is keyed"));
        assertTrue(problems.get(1).reason().contains("clients wait 1500ms"));
        assertTrue(problems.get(2).reason().contains("the platform allows 3"));
        List<Problem> window = assertThrows(OperatorFileException.class, () -> OperatorFile.parse("f.toml", """
                [classes.pay]
                effect = "keyed"
                repeat-window = "10s"
                """, platform)).problems();
        assertTrue(window.get(0).reason().contains("nodes drop repeats for 6000ms"));
    }

    @Test
    void aFileThatIsNotThereIsNamed() {
        assertTrue(assertThrows(OperatorFileException.class, () -> OperatorFile.read("/nowhere/x.toml",
                PlatformConstraints.UNKNOWN)).getMessage().startsWith("/nowhere/x.toml: cannot be read"));
    }

    /** What an operator is handed as an example must be taken as it is. */
    @Test
    void theFilesThatAreHandedOutAreGood() throws Exception {
        try (Stream<Path> files = Files.walk(Path.of("..", "deploy"))) {
            // The two that say which program runs where are no operator files; DeployFileTest in cdn reads the system's.
            List<Path> all = files.filter(f -> f.toString().endsWith(".toml"))
                    .filter(f -> !f.endsWith("balancer.toml") && !f.endsWith("system.toml")).toList();
            assertTrue(all.size() >= 4, all.toString());
            for (Path file : all) {
                OperatorFile.read(file.toString(), PlatformConstraints.UNKNOWN);
            }
        }
    }
}
