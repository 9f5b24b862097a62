package ridgemill.cdn.proxy;

import ridgemill.cdn.proxy.http.Headers;

/**
 * A whole answer of an instance.
 *
 * @param status its HTTP status
 * @param headers its end-to-end headers, without the length of the body
 * @param contentLength the length that its head states; negative if it states none
 * @param body its whole body
 */
record InstanceResponse(int status, Headers headers, long contentLength, byte[] body) {

    /** The header that vouches for a success. */
    private static final double MS_PER_SECOND = 1_000;

    static final String SEAL = "X-Response-Seal";

    boolean isSuccess() {
        return status >= 200 && status < 300;
    }

    /** Whether the instance says that it failed on its own account. */
    boolean isFailure() {
        return status >= 500;
    }

    /** How long it asks to wait, in milliseconds; 0 if it does not say. */
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
