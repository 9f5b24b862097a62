package ridgemill.lab;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** The scenarios that come with the program, and those in files. */
public final class Scenarios {

    /** The names of those that come with the program. */
    public static final List<String> NAMES = List.of("calm", "node-killed", "drain-pipelined", "store-slow-then-down",
            "discovery-silent", "cold-node-joins", "rolling-restart", "lossy-link", "half-open-clients");

    private Scenarios() { }

    /** The scenario of this name, or in the file of this path. */
    public static Scenario named(String name) throws IOException {
        try (InputStream in = Scenarios.class.getResourceAsStream("/scenarios/" + name + ".scenario")) {
            if (in != null) {
                return ScenarioParser.parse(name, new String(in.readAllBytes(), StandardCharsets.UTF_8));
            }
        }
        Path file = Path.of(name);
        if (!Files.isReadable(file)) {
            throw new IOException("no such scenario or file: " + name);
        }
        return ScenarioParser.parse(name, Files.readString(file));
    }
}
