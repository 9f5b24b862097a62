package org.ridgemill.checks;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The list of tests that are known to fail. Its form is strict and its length bounded, so that it can't become a place to
 * put tests away.
 */
final class KnownRed {

    static final String FILE = "KNOWN-RED.txt";
    static final int MOST = 3;

    private KnownRed() {}

    /**
     * A listed test.
     *
     * @param module the directory of the module
     * @param test the class with its package, a dot and the method
     * @param cause why it fails
     * @param issue where its mending is followed
     */
    record Entry(String module, String test, String cause, String issue) {

        /** The test as the list names it. */
        String id() {
            return module + '#' + test;
        }
    }

    /** Reads the list at the root of the sources. A root without one lists no test. */
    static List<Entry> read(Path root) throws IOException {
        Path file = root.resolve(FILE);
        return Files.exists(file) ? parse(Files.readAllLines(file)) : List.of();
    }

    /**
     * Reads the lines of a list.
     *
     * @throws IllegalArgumentException if a line has another form, a test stands twice or there are too many
     */
    static List<Entry> parse(List<String> lines) {
        List<Entry> entries = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        for (String line : lines) {
            if (!line.isBlank() && !line.startsWith("#")) {
                Entry entry = entry(line);
                if (!ids.add(entry.id())) {
                    throw new IllegalArgumentException(FILE + ": listed twice: " + entry.id());
                }
                entries.add(entry);
            }
        }
        if (entries.size() > MOST) {
            throw new IllegalArgumentException(FILE + ": " + entries.size() + " tests, " + MOST + " at most");
        }
        return entries;
    }

    private static Entry entry(String line) {
        String[] parts = line.split("\\|", -1);
        if (parts.length == 3) {
            String[] place = parts[0].strip().split("#", -1);
            String cause = parts[1].strip();
            String issue = parts[2].strip();
            if (place.length == 2
                    && !place[0].isEmpty()
                    && place[1].matches("[\\w$]+(\\.[\\w$]+)+")
                    && !cause.isEmpty()
                    && !issue.isEmpty()) {
                return new Entry(place[0], place[1], cause, issue);
            }
        }
        throw new IllegalArgumentException(FILE + ": not 'module#TestClass.method | cause | issue': " + line);
    }
}
