package ridgemill.route;

import java.util.function.UnaryOperator;

/**
 * What a request shows of itself for its route to be found.
 *
 * @param method the operation, such as GET
 * @param path the path, without its query, from {@code /} on
 * @param tenant null where it names none
 * @param headerLookup looks a header up by its lower-case name; null where there is none
 */
public record RouteQuery(String method, String path, String tenant, UnaryOperator<String> headerLookup) {

    /** A request without headers. */
    public RouteQuery(String method, String path, String tenant) {
        this(method, path, tenant, name -> null);
    }

    /** The value of a header; null where it has none. */
    public String header(String name) {
        return headerLookup.apply(name);
    }

    /** The key: the last segment of the path. */
    public String key() {
        return path.substring(path.lastIndexOf('/') + 1);
    }
}
