package ridgemill.cdn.edge;

import java.util.Locale;

/** The reason why a request that needed a service ended without an answer from an instance. */
public enum RefusalReason {
    /** The admission of the service is throttled and its token bank is empty. */
    ADMISSION,
    /** This process' share of the service's request rate is used up. */
    ORIGIN_RATE,
    /** The retry budget is used up. */
    RETRY_BUDGET,
    /** Every remaining instance is at its limit of requests. */
    CROWDED,
    /** No instance is left to try. */
    NO_INSTANCE,
    /** No connection to an instance could be established. */
    CONNECT_FAILED,
    /** All attempts that the route and the kind of request allow ended without an answer. */
    ATTEMPTS_FAILED,
    /** The deadline of the client or the timeout of the route has passed. */
    OUT_OF_TIME,
    /** The stores granted no claim on the operation key. */
    NO_CLAIM,
    /** The shared cache holds no usable copy and may not fetch the object now. */
    CACHE_REFUSED,
    /** The shared cache does not know the route, or knows only an older version of it. */
    ROUTE_UNKNOWN,
    /** The request waited for a fetch started by another request, and that fetch was refused. */
    SHARED_FETCH,
    /** The response did not fit into the memory of this process. */
    MEMORY,
    /** This process is stopping and might not have answered before its end. */
    STOPPING;

    private final String label = name().toLowerCase(Locale.ROOT);

    /** The name of the reason in metrics and logs. */
    public String label() {
        return label;
    }
}
