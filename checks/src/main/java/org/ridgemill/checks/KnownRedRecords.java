package org.ridgemill.checks;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** How listed tests ended, as the processes that ran them wrote it down. */
final class KnownRedRecords {

    private static final String FILE = "target/known-red.records";

    private final Path file;

    KnownRedRecords(Path root) {
        file = root.resolve(FILE);
    }

    /** How a run of a test ended. */
    enum End {
        RED,
        GREEN
    }

    /** Adds how a run of a test ended. Processes that run side by side add whole lines. */
    void add(String id, End end) throws IOException {
        Files.createDirectories(file.getParent());
        Files.write(
                file,
                (end + " " + id + "\n").getBytes(StandardCharsets.UTF_8),
                StandardOpenOption.CREATE,
                StandardOpenOption.APPEND);
    }

    /** How the runs of each test ended: one test has several runs if it has parameters. */
    Map<String, Set<End>> read() throws IOException {
        Map<String, Set<End>> ends = new HashMap<>();
        List<String> lines = Files.exists(file) ? Files.readAllLines(file) : List.of();
        for (String line : lines) {
            int space = line.indexOf(' ');
            ends.computeIfAbsent(line.substring(space + 1), id -> new HashSet<>())
                    .add(End.valueOf(line.substring(0, space)));
        }
        return ends;
    }

    /** Forgets all, so that the next build does not count runs of this one. */
    void clear() throws IOException {
        Files.deleteIfExists(file);
    }
}
