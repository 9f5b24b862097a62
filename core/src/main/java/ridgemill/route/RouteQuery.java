package ridgemill.route;

import java.util.function.UnaryOperator;

/**
 * The properties of a request by which its route is selected.
 *
 * @param method the operation, such as GET
 * @param path the path without query, starting with {@code /}
 * @param tenant the tenant; null if the request names none
 * @param headerLookup returns the value of a header by its lower-case name, or null if it is absent
 */
public record RouteQuery(String method, String path, String tenant, UnaryOperator<String> headerLookup) {

    /** Creates a query without headers. */
    public RouteQuery(String method, String path, String tenant) {
        this(method, path, tenant, name -> null);
    }

    /** The value of a header by its lower-case name; null if it is absent. */
    public String header(String name) {
        return headerLookup.apply(name);
    }

    /** The key, which is the last segment of the path. */
    public String key() {
        return path.substring(path.lastIndexOf('/') + 1);
    }
}
