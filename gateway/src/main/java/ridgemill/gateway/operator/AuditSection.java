package ridgemill.gateway.operator;

import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Optional;

/** {@code [audit]}: what is kept of which version requests were decided under; and {@code version}, the file's own number. */
final class AuditSection {

    private static final int REQUESTS = 1000;
    private static final int MOST_REQUESTS = 100_000;
    private static final long FILE_BYTES = 16L << 20;
    private static final long LEAST_FILE_BYTES = 64L << 10;

    private AuditSection() { }

    static AuditSettings read(Section root, int loops) {
        return root.table("audit").map(s -> {
            if (loops > 1) {
                s.problem(null, "loops-and-audit", "the record belongs to one loop, and process.loops is " + loops,
                        "take [audit] out, or set loops = 1");
            }
            boolean tells = s.flag("tell-version").orElse(false);
            int requests = s.count("requests", 0, MOST_REQUESTS).orElse(REQUESTS);
            Path directory = s.text("keep-in").flatMap(t -> directory(s, t)).orElse(null);
            long bytes = s.size("keep-size").orElse(FILE_BYTES);
            if (bytes < LEAST_FILE_BYTES) {
                s.problem("keep-size", "out-of-range", "a file of " + bytes + " bytes holds too little", "give it 64KiB at least");
            }
            if (s.has("keep-size") && !s.has("keep-in")) {
                s.problem("keep-size", "nothing-to-keep", "no directory is named to keep a file in", "set keep-in, or take keep-size out");
            }
            s.done();
            return new AuditSettings(tells, requests, directory, bytes);
        }).orElse(null);
    }

    private static Optional<Path> directory(Section s, String text) {
        try {
            Path path = Path.of(text);
            if (path.isAbsolute()) {
                return Optional.of(path);
            }
        } catch (InvalidPathException e) {
            // Told of as any other that is no path.
        }
        s.problem("keep-in", "bad-path", "\"" + text + "\" is no absolute path", "give a directory such as \"/var/lib/ridgemill\"");
        return Optional.empty();
    }

    /** The number that the file gives itself; 0 where it gives none. */
    static long version(Section root) {
        return root.count("version", 1, Integer.MAX_VALUE - 1).orElse(0);
    }
}
