package ridgemill.cdn.config;

/** The tables that a configuration consists of. */
public enum ItemKind {
    /** A route: which requests go to which service. */
    ROUTE,
    /** A service: how its instances are called. */
    SERVICE,
    /** The single item that bounds what clients may send; its name is empty. */
    LIMITS
}
