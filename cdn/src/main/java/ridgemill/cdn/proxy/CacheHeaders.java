package ridgemill.cdn.proxy;

import ridgemill.cdn.edge.Digits;
import ridgemill.cdn.proxy.http.Headers;

/** Headers between edge proxies and shared caches; they go neither to clients nor to instances. */
final class CacheHeaders {

    /** The service that the edge proxy chose for the request. */
    static final String SERVICE = "X-Ridgemill-Service";
    /** The version of the route by which it chose. */
    static final String ROUTE_VERSION = "X-Ridgemill-Route-Version";
    /** How old a copy may be, in milliseconds. */
    static final String MAX_AGE = "X-Ridgemill-Max-Age";
    /** How old the copy that an answer brings was as the request arrived, in milliseconds. */
    static final String AGE = "X-Ridgemill-Age";
    /** Why a shared cache refused; its answer is no answer of an instance. */
    static final String REFUSAL = "X-Ridgemill-Refusal";

    private static final int MAX_DIGITS = 15;

    private CacheHeaders() {}

    /** A number of a header; {@code otherwise} if it is absent or malformed. */
    static long getLong(Headers headers, String name, long otherwise) {
        String text = headers.get(name);
        long number = text == null ? -1 : Digits.parse(text, MAX_DIGITS);
        return number < 0 ? otherwise : number;
    }

    /** Drops all of them. */
    static Headers removeFrom(Headers headers) {
        return headers.remove(SERVICE)
                .remove(ROUTE_VERSION)
                .remove(MAX_AGE)
                .remove(AGE)
                .remove(REFUSAL);
    }
}
