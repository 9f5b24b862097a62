package ridgemill.gateway.operator;

import java.nio.charset.StandardCharsets;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Optional;

/** {@code [control]}: where this machine's operators ask a running proxy. */
final class ControlSection {

    /** What the field of a socket's address holds (unix(7): 108 bytes with the zero at the end). */
    private static final int MOST_BYTES = 107;

    private ControlSection() { }

    static Path read(Section root) {
        return root.table("control").flatMap(s -> {
            Optional<String> text = s.text("socket");
            if (!s.has("socket")) {
                s.problem(null, "missing", "has no socket", "set socket = \"/run/ridgemill/p0.sock\", or take the table out");
            }
            s.done();
            return text.flatMap(t -> path(s, t));
        }).orElse(null);
    }

    private static Optional<Path> path(Section s, String text) {
        try {
            Path path = Path.of(text);
            if (path.isAbsolute() && text.getBytes(StandardCharsets.UTF_8).length <= MOST_BYTES) {
                return Optional.of(path);
            }
        } catch (InvalidPathException e) {
            // Told of as any other that is no path.
        }
        s.problem("socket", "bad-path", "\"" + text + "\" is no absolute path of at most " + MOST_BYTES + " bytes",
                "give one such as \"/run/ridgemill/p0.sock\"");
        return Optional.empty();
    }
}
