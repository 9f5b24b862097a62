package ridgemill.cdn.proxy;

import ridgemill.cdn.edge.Digits;
import ridgemill.cdn.proxy.http.Headers;

/** Headers between edge proxies and shared caches. They are sent neither to clients nor to instances. */
final class CacheHeaders {

    /** The service that the edge proxy selected for the request. */
    static final String SERVICE = "X-Ridgemill-Service";
    /** The version of the route that selected the service. */
    static final String ROUTE_VERSION = "X-Ridgemill-Route-Version";
    /** The maximum acceptable age of a copy, in milliseconds. */
    static final String MAX_AGE = "X-Ridgemill-Max-Age";
    /** The age of the returned copy at the time the request arrived, in milliseconds. */
    static final String AGE = "X-Ridgemill-Age";
    /**
     * How long before the request arrived the last time was until which the shared cache knew of all acknowledged
     * purges of the returned copy, in milliseconds.
     */
    static final String UNCONFIRMED = "X-Ridgemill-Unconfirmed";
    /** The instance from which a shared cache fetched the returned copy, for logs. */
    static final String FETCHED_FROM = "X-Ridgemill-Fetched-From";
    /** Why a shared cache refused the request. A response with this header does not come from an instance. */
    static final String REFUSAL = "X-Ridgemill-Refusal";

    private static final int MAX_DIGITS = 15;

    private CacheHeaders() {}

    /** Returns the numeric value of a header, or {@code defaultValue} if it is absent or malformed. */
    static long getLong(Headers headers, String name, long defaultValue) {
        String text = headers.get(name);
        long number = text == null ? -1 : Digits.parse(text, MAX_DIGITS);
        return number < 0 ? defaultValue : number;
    }

    /** Removes all of these headers. */
    static Headers removeFrom(Headers headers) {
        return headers.remove(SERVICE)
                .remove(ROUTE_VERSION)
                .remove(MAX_AGE)
                .remove(AGE)
                .remove(FETCHED_FROM)
                .remove(UNCONFIRMED)
                .remove(REFUSAL);
    }
}
