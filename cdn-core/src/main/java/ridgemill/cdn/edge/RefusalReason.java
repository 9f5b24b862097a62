package ridgemill.cdn.edge;

import java.util.Locale;

/** Why a request that needed a service was ended without an answer of an instance: which check stopped it. */
public enum RefusalReason {
    /** The service's admission is throttled and its token bank is empty. */
    ADMISSION,
    /** This process' part of the service's bound on requests a second is used up. */
    ORIGIN_RATE,
    /** The budget of further attempts is used up. */
    RETRY_BUDGET,
    /** Every instance that could run it holds as many requests as it should. */
    CROWDED,
    /** No instance is left to try. */
    NO_INSTANCE,
    /** No connection to an instance came up. */
    CONNECT_FAILED,
    /** As many attempts as the route or the request's kind allows ended without an answer. */
    ATTEMPTS_FAILED,
    /** The time that the client or the route grants has passed. */
    OUT_OF_TIME,
    /** The stores gave no claim on the operation's key. */
    NO_CLAIM,
    /** A shared cache holds no copy and may not fetch the object now. */
    CACHE_REFUSED,
    /** The shared cache does not know the route, or only an older version of it. */
    ROUTE_UNKNOWN,
    /** A fetch of the object that another request had begun was refused. */
    SHARED_FETCH;

    private final String label = name().toLowerCase(Locale.ROOT);

    /** The name in metrics and logs. */
    public String label() {
        return label;
    }
}
