package ridgemill.route;

/**
 * A route: a pattern and conditions that select requests, and their target.
 *
 * @param name name given by the operator, unique within a table
 * @param pathPattern the paths that it matches
 * @param conditions further conditions on the request
 * @param target where matching requests are sent; opaque to this package
 * @param <T> the type of targets
 */
public record Route<T>(String name, PathPattern pathPattern, Conditions conditions, T target) {

    /** Whether the route matches a request. */
    public boolean matches(RouteQuery query) {
        return pathPattern.matches(query.path()) && conditions.matches(query);
    }

    /**
     * Compares the specificity of two routes that match the same request: positive if this one is more specific, 0 if
     * both are equal. The path pattern decides first, then the conditions.
     */
    public int compareSpecificity(Route<?> other) {
        int byPath = pathPattern.compareSpecificity(other.pathPattern);
        return byPath != 0 ? byPath : conditions.compareSpecificity(other.conditions);
    }

    /** Whether both routes match some request and neither is more specific. */
    public boolean conflictsWith(Route<?> other) {
        return compareSpecificity(other) == 0 && pathPattern.overlaps(other.pathPattern)
                && conditions.overlaps(other.conditions);
    }

    /** An example of a request that both of two conflicting routes match, as text for operators. */
    public String conflictExample(Route<?> other) {
        Conditions a = conditions;
        Conditions b = other.conditions;
        String path = overlapPath(pathPattern, other.pathPattern);
        if (a.keyRange() != null && b.keyRange() != null) {
            path = path.substring(0, path.lastIndexOf('/') + 1) + a.keyRange().commonKey(b.keyRange());
        }
        String method = a.method() != null ? a.method() : b.method() != null ? b.method() : "GET";
        String tenant = a.tenant() != null ? a.tenant() : b.tenant();
        StringBuilder text = new StringBuilder(method).append(' ').append(path);
        if (tenant != null) {
            text.append(" of tenant ").append(tenant);
        }
        a.headers().forEach((n, v) -> text.append(" with ").append(n).append(": ").append(v));
        b.headers().forEach((n, v) -> text.append(a.headers().containsKey(n) ? "" : " with " + n + ": " + v));
        return text.toString();
    }

    private static String overlapPath(PathPattern a, PathPattern b) {
        PathPattern longer = a.segments().size() >= b.segments().size() ? a : b;
        PathPattern shorter = longer == a ? b : a;
        StringBuilder path = new StringBuilder();
        for (int i = 0; i < longer.segments().size(); i++) {
            String segment = longer.segments().get(i);
            if (segment == null && i < shorter.segments().size()) {
                segment = shorter.segments().get(i);
            }
            path.append('/').append(segment == null ? "x" : segment);
        }
        return path.length() == 0 ? "/" : path.toString();
    }
}
