package ridgemill.route;

import java.util.Map;
import java.util.Optional;

/**
 * Conditions on a request beside its path, all of which must hold.
 *
 * @param method the operation, such as GET; null for any
 * @param tenant the tenant; null for any
 * @param headers required header values by lower-case name
 * @param keyRange range of the key; null for any
 */
public record Conditions(String method, String tenant, Map<String, String> headers, KeyRange keyRange) {

    /** No conditions: matches every request. */
    public static final Conditions NONE = new Conditions(null, null, Map.of(), null);

    /** Keys from {@code from} (inclusive) to {@code to} (exclusive), compared as strings; null means no bound. */
    public record KeyRange(String from, String to) {

        /** Checks that the range is not empty. */
        public KeyRange {
            if (from != null && to != null && from.compareTo(to) >= 0) {
                throw new IllegalArgumentException("no key is from " + from + " and before " + to);
            }
        }

        /** Whether the range contains a key. */
        public boolean contains(String key) {
            return (from == null || key.compareTo(from) >= 0) && (to == null || key.compareTo(to) < 0);
        }

        boolean overlaps(KeyRange other) {
            return (to == null || other.from == null || other.from.compareTo(to) < 0)
                    && (other.to == null || from == null || from.compareTo(other.to) < 0);
        }

        /** A key in both of two overlapping ranges. */
        String commonKey(KeyRange other) {
            if (from == null) {
                return other.from == null ? "" : other.from;
            }
            return other.from == null || from.compareTo(other.from) >= 0 ? from : other.from;
        }
    }

    /** Copies the headers. */
    public Conditions {
        headers = Map.copyOf(headers);
    }

    /** Whether a request meets all conditions. */
    public boolean matches(RouteQuery query) {
        if (method != null && !method.equals(query.method()) || tenant != null && !tenant.equals(query.tenant())
                || keyRange != null && !keyRange.contains(query.key())) {
            return false;
        }
        for (Map.Entry<String, String> required : headers.entrySet()) {
            if (!required.getValue().equals(query.header(required.getKey()))) {
                return false;
            }
        }
        return true;
    }

    /**
     * Compares the specificity of two sets of conditions: positive if this one is more specific. Decided in this order
     * by: a tenant; a key range; the number of headers; a method.
     */
    public int compareSpecificity(Conditions other) {
        int byTenant = Boolean.compare(tenant != null, other.tenant != null);
        int byKeys = Boolean.compare(keyRange != null, other.keyRange != null);
        int byHeaders = Integer.compare(headers.size(), other.headers.size());
        int byMethod = Boolean.compare(method != null, other.method != null);
        return byTenant != 0 ? byTenant : byKeys != 0 ? byKeys : byHeaders != 0 ? byHeaders : byMethod;
    }

    /** Whether some request meets both sets of conditions. */
    public boolean overlaps(Conditions other) {
        boolean methodsOverlap = method == null || other.method == null || method.equals(other.method);
        boolean tenantsOverlap = tenant == null || other.tenant == null || tenant.equals(other.tenant);
        boolean keysOverlap = keyRange == null || other.keyRange == null || keyRange.overlaps(other.keyRange);
        boolean headersOverlap = headers.entrySet().stream().allMatch(h ->
                Optional.ofNullable(other.headers.get(h.getKey())).map(v -> v.equals(h.getValue())).orElse(true));
        return methodsOverlap && tenantsOverlap && keysOverlap && headersOverlap;
    }
}
