package ridgemill.route;

import java.util.function.UnaryOperator;

/**
 * What a request shows of itself for its route to be found.
 *
 * @param method the operation, such as GET
 * @param path the path, without its query, from {@code /} on
 * @param tenant null where it names none
 * @param headers looks a header up by its lower-case name; null where there is none
 */
public record Query(String method, String path, String tenant, UnaryOperator<String> headers) {

    /** A request without headers. */
    public Query(String method, String path, String tenant) {
        this(method, path, tenant, name -> null);
    }

    /** The value of a header; null where it has none. */
    public String header(String name) {
        return headers.apply(name);
    }

    /** The key: the last segment of the path. */
    public String key() {
        return path.substring(path.lastIndexOf('/') + 1);
    }
}
