package ridgemill.route;

import java.util.Map;
import java.util.Optional;

/**
 * What must hold of a request beside its path; all of it must.
 *
 * @param method the operation, such as GET; null for any
 * @param tenant the tenant; null for any
 * @param headers values that headers must have, by lower-case name
 * @param keyRange the keys; null for any
 */
public record Conditions(String method, String tenant, Map<String, String> headers, KeyRange keyRange) {

    /** Every request. */
    public static final Conditions NONE = new Conditions(null, null, Map.of(), null);

    /** Keys from {@code from} up to and without {@code to}, in the order of their characters; null is without bound. */
    public record KeyRange(String from, String to) {

        public KeyRange {
            if (from != null && to != null && from.compareTo(to) >= 0) {
                throw new IllegalArgumentException("no key is from " + from + " and before " + to);
            }
        }

        /** Whether a key lies in it. */
        public boolean contains(String key) {
            return (from == null || key.compareTo(from) >= 0) && (to == null || key.compareTo(to) < 0);
        }

        boolean overlaps(KeyRange other) {
            return (to == null || other.from == null || other.from.compareTo(to) < 0)
                    && (other.to == null || from == null || from.compareTo(other.to) < 0);
        }

        /** A key that lies in both. */
        String commonKey(KeyRange other) {
            if (from == null) {
                return other.from == null ? "" : other.from;
            }
            return other.from == null || from.compareTo(other.from) >= 0 ? from : other.from;
        }
    }

    public Conditions {
        headers = Map.copyOf(headers);
    }

    /** Whether a request meets them. */
    public boolean matches(RouteQuery q) {
        if (method != null && !method.equals(q.method()) || tenant != null && !tenant.equals(q.tenant())
                || keyRange != null && !keyRange.contains(q.key())) {
            return false;
        }
        for (Map.Entry<String, String> wanted : headers.entrySet()) {
            if (!wanted.getValue().equals(q.header(wanted.getKey()))) {
                return false;
            }
        }
        return true;
    }

    /**
     * Which of two sets of conditions is the more specific: positive if this one is. In this order: one that names a
     * tenant; one that bounds keys; one that asks for more headers; one that names a method.
     */
    public int compareSpecificity(Conditions other) {
        int byTenant = Boolean.compare(tenant != null, other.tenant != null);
        int byKeys = Boolean.compare(keyRange != null, other.keyRange != null);
        int byHeaders = Integer.compare(headers.size(), other.headers.size());
        int byMethod = Boolean.compare(method != null, other.method != null);
        return byTenant != 0 ? byTenant : byKeys != 0 ? byKeys : byHeaders != 0 ? byHeaders : byMethod;
    }

    /** Whether some request may meet both. */
    public boolean overlaps(Conditions other) {
        boolean methods = method == null || other.method == null || method.equals(other.method);
        boolean tenants = tenant == null || other.tenant == null || tenant.equals(other.tenant);
        boolean ranges = keyRange == null || other.keyRange == null || keyRange.overlaps(other.keyRange);
        boolean common = headers.entrySet().stream().allMatch(h -> Optional.ofNullable(other.headers.get(h.getKey()))
                .map(v -> v.equals(h.getValue())).orElse(true));
        return methods && tenants && ranges && common;
    }
}
