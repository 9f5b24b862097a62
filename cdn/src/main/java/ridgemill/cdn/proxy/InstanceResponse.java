package ridgemill.cdn.proxy;

import ridgemill.cdn.proxy.http.Headers;

/**
 * A complete response of an instance.
 *
 * @param status the HTTP status
 * @param headers the end-to-end headers, without Content-Length
 * @param contentLength the Content-Length of the response; negative if it has none
 * @param body the complete body
 */
record InstanceResponse(int status, Headers headers, long contentLength, byte[] body) {

    private static final double MS_PER_SECOND = 1_000;

    /** The header with which an instance vouches for a successful response; a success without it is not accepted. */
    static final String SEAL = "X-Response-Seal";

    /** The header with which an instance, or a stopping shared cache, states that it has not run the request. */
    static final String NOT_EXECUTED = "X-Not-Executed";

    boolean isSuccess() {
        return status >= 200 && status < 300;
    }

    /** Whether the status reports a failure of the server. */
    boolean isFailure() {
        return status >= 500;
    }

    /** The value of Retry-After, in milliseconds; 0 if it is absent or malformed. */
    double retryAfterMs() {
        String text = headers.get("Retry-After");
        try {
            return text == null ? 0 : Math.max(0, Double.parseDouble(text) * MS_PER_SECOND);
        } catch (NumberFormatException malformed) {
            return 0;
        }
    }

    boolean isSealed() {
        return headers.get(SEAL) != null;
    }
}
