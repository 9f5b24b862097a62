package ridgemill.cdn.metrics;

import io.vavr.control.Option;

/**
 * The port and path at which a process serves its metrics, as given on the command line.
 *
 * @param port the port on the machine's address, 1 to 65535
 * @param path the path, with its leading slash
 */
public record MetricsEndpoint(int port, String path) {

    private static final int MAX_PORT = 65_535;

    /** Parses {@code PORT/PATH}. Returns none if the text has another form. */
    public static Option<MetricsEndpoint> parse(String text) {
        int slash = text.indexOf('/');
        if (slash <= 0 || slash > 5 || !text.chars().limit(slash).allMatch(c -> c >= '0' && c <= '9')) {
            return Option.none();
        }
        int port = Integer.parseInt(text.substring(0, slash));
        return port < 1 || port > MAX_PORT
                ? Option.none()
                : Option.of(new MetricsEndpoint(port, text.substring(slash)));
    }
}
