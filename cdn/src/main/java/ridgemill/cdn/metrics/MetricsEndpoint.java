package ridgemill.cdn.metrics;

import io.vavr.control.Option;

/**
 * Where a process serves its figures, as the command line names it.
 *
 * @param port the port on the machine's address, 1 to 65535
 * @param path the path, with its first slash
 */
public record MetricsEndpoint(int port, String path) {

    private static final int HIGHEST_PORT = 65_535;

    /** Reads {@code PORT/PATH}; none if the text is not that. */
    public static Option<MetricsEndpoint> parse(String text) {
        int slash = text.indexOf('/');
        if (slash <= 0 || slash > 5 || !text.chars().limit(slash).allMatch(c -> c >= '0' && c <= '9')) {
            return Option.none();
        }
        int port = Integer.parseInt(text.substring(0, slash));
        return port < 1 || port > HIGHEST_PORT
                ? Option.none()
                : Option.of(new MetricsEndpoint(port, text.substring(slash)));
    }
}
