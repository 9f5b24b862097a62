package ridgemill.cdn.soak;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import ridgemill.cdn.json.TreeReader;

/** The JVM options with which the deploy file runs a program, except those that refer to the packaged jar. */
final class DeployedJvm {

    private static final Path DEPLOY_FILE = Path.of("..", "deploy", "system.toml");
    private static final List<String> JAR_OPTIONS =
            List.of("-Xshare:", "-XX:SharedArchiveFile=", "-Djava.library.path=");

    private DeployedJvm() {}

    /** The options of a program, which has its role's name. */
    static List<String> options(String program) throws IOException {
        String run;
        try (JsonParser parser = new TomlFactory().createParser(Files.readString(DEPLOY_FILE))) {
            run = TreeReader.readSingleValue(parser)
                    .path("roles")
                    .path(program)
                    .path("run")
                    .asText();
        }
        List<String> options = new ArrayList<>();
        for (String word : run.split(" ")) {
            boolean isOption = word.startsWith("-X") || word.startsWith("-D");
            if (isOption && JAR_OPTIONS.stream().noneMatch(word::startsWith)) {
                options.add(word);
            }
        }
        if (options.isEmpty()) {
            throw new IOException("no role " + program + " in " + DEPLOY_FILE);
        }
        return options;
    }
}
