package ridgemill.cdn.config;

/** The tables of a configuration. */
public enum ItemKind {
    /** A route, which maps requests to services. */
    ROUTE,
    /** A service, with the settings for calling its instances. */
    SERVICE,
    /** The single item with the limits on client requests; its name is empty. */
    LIMITS
}
