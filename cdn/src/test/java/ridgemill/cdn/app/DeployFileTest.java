package ridgemill.cdn.app;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import ridgemill.cdn.json.TreeReader;

/** Checks that the deploy file refers to existing programs and machine classes. */
class DeployFileTest {

    private static final Set<String> MACHINE_CLASSES = Set.of("edge", "shield", "store");
    private static final Set<String> CALLERS = Set.of("edge", "control_plane");

    @Test
    void rolesRunProgramsOfTheJarAndServeDistinctCallers() throws Exception {
        JsonNode roles = deployFile().path("roles");
        Set<String> served = new HashSet<>();
        Set<String> programs = new HashSet<>();
        for (Map.Entry<String, JsonNode> role : roles.properties()) {
            String run = role.getValue().path("run").asText();
            assertThat(run).startsWith("java ").contains(" -XX:SharedArchiveFile=target/ridgemill-cdn.jsa ");
            assertThat(run).contains(" -jar target/ridgemill-cdn.jar ").doesNotContain("  ");
            programs.add(run.substring(run.lastIndexOf(' ') + 1));
            String machineClass = role.getValue().path("on").asText();
            assertThat(machineClass).isIn(MACHINE_CLASSES);
            for (JsonNode caller : role.getValue().path("serves")) {
                assertThat(caller.asText()).isIn(CALLERS);
                assertThat(served.add(machineClass + ' ' + caller.asText())).isTrue();
            }
        }
        assertThat(programs).containsExactlyInAnyOrder("proxy", "cache", "registry", "store");
        assertThat(served).containsExactlyInAnyOrder("edge edge", "shield control_plane");
    }

    private static JsonNode deployFile() throws Exception {
        String text = Files.readString(Path.of("..", "deploy", "system.toml"));
        try (JsonParser parser = new TomlFactory().createParser(text)) {
            return TreeReader.readSingleValue(parser);
        }
    }
}
