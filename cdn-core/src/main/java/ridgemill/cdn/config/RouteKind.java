package ridgemill.cdn.config;

/** The kind of a route, which decides whether its requests may be retried and its answers cached. */
public enum RouteKind {
    /** Object reads that may be answered from a cache; treated as {@link #IDEMPOTENT} otherwise. */
    CACHEABLE("cacheable"),
    /** Requests that may safely run more than once. */
    IDEMPOTENT("idempotent"),
    /** Requests that run at most once per operation key. */
    KEYED_IDEMPOTENT("keyed_idempotent"),
    /** Requests that run at most once each time a client sends them. */
    NON_IDEMPOTENT("non_idempotent");

    private final String wireName;

    RouteKind(String wireName) {
        this.wireName = wireName;
    }

    /** The name of this kind in the operator's configuration. */
    public String wireName() {
        return wireName;
    }

    /** Whether a request of this kind may be retried although an earlier attempt may have run. */
    public boolean isRetryable() {
        return this == CACHEABLE || this == IDEMPOTENT;
    }

    /** The kind with this name in the configuration; null if there is none. */
    public static RouteKind ofWireName(String name) {
        for (RouteKind kind : values()) {
            if (kind.wireName.equals(name)) {
                return kind;
            }
        }
        return null;
    }
}
