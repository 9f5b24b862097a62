package ridgemill.bench;

import java.nio.file.Path;

/**
 * One build of ridgemill that is measured: a checkout in which {@code mvn -DskipTests package} has run, so that each starts by
 * its own run line, with the class archive that was made for its own jar.
 *
 * @param name by which its figures are told
 * @param root the checkout's root
 */
record Build(String name, Path root) {

    /** What an option's help says of {@code --before}. */
    static final String BEFORE = "Roots of other checkouts that have been built, measured in turn with this one.";

    /** The build that the measurement itself stands in; measurements are started from its root. */
    static final Build THIS = new Build("ridgemill", Path.of("").toAbsolutePath());

    /** Another one, which may be an earlier or a later one; its figures are told under its directory's name. */
    static Build other(Path root) {
        Path at = root.toAbsolutePath().normalize();
        return new Build("build " + at.getFileName(), at);
    }
}
