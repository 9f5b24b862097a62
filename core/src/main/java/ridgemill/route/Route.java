package ridgemill.route;

/**
 * One way for requests to go.
 *
 * @param name as the operator calls it, unique in its table
 * @param pathPattern the paths that it takes
 * @param conditions what must hold beside the path
 * @param target where it leads; opaque here
 * @param <T> the type of targets
 */
public record Route<T>(String name, PathPattern pathPattern, Conditions conditions, T target) {

    /** Whether it takes a request. */
    public boolean matches(RouteQuery q) {
        return pathPattern.matches(q.path()) && conditions.matches(q);
    }

    /**
     * Which of two routes that take one request wins: positive if this one does, 0 if neither does. The more specific
     * path first; where these are equal, the more specific conditions.
     */
    public int compareSpecificity(Route<?> other) {
        int byPath = pathPattern.compareSpecificity(other.pathPattern);
        return byPath != 0 ? byPath : conditions.compareSpecificity(other.conditions);
    }

    /** Whether some request is taken by both and neither wins. */
    public boolean conflictsWith(Route<?> other) {
        return compareSpecificity(other) == 0 && pathPattern.overlaps(other.pathPattern) && conditions.overlaps(other.conditions);
    }

    /** A request that both of two routes that conflict take, in words that an operator can try. */
    public String conflictExample(Route<?> other) {
        Conditions a = conditions;
        Conditions b = other.conditions;
        String path = both(pathPattern, other.pathPattern);
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

    private static String both(PathPattern a, PathPattern b) {
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
