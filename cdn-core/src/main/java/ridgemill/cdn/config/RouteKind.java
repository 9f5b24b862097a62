package ridgemill.cdn.config;

/** What may be repeated on a route. */
public enum RouteKind {
    /** Object reads that may be answered from a cache; treated as {@link #IDEMPOTENT} otherwise. */
    CACHEABLE("cacheable"),
    /** Requests that may run more than once. */
    IDEMPOTENT("idempotent"),
    /** Requests that run at most once for each operation key. */
    KEYED_IDEMPOTENT("keyed_idempotent"),
    /** Requests that run at most once for each try of a client. */
    NON_IDEMPOTENT("non_idempotent");

    private final String wireName;

    RouteKind(String wireName) {
        this.wireName = wireName;
    }

    /** The word for this kind in the operator's configuration. */
    public String wireName() {
        return wireName;
    }

    /** Whether a request of this kind may be sent again although an earlier attempt may have run. */
    public boolean isRetryable() {
        return this == CACHEABLE || this == IDEMPOTENT;
    }

    /** The kind of this name, or null if there is none. */
    public static RouteKind ofWireName(String name) {
        for (RouteKind kind : values()) {
            if (kind.wireName.equals(name)) {
                return kind;
            }
        }
        return null;
    }
}
