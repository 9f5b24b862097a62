package ridgemill.cdn.proxy;

import ridgemill.cdn.proxy.http.Headers;

/**
 * A whole answer of an instance.
 *
 * @param status its HTTP status
 * @param headers its end-to-end headers, without the length of the body
 * @param length the length that its head states; negative if it states none
 * @param body its whole body
 */
record InstanceAnswer(int status, Headers headers, long length, byte[] body) {

    /** The header that vouches for a success. */
    static final String SEAL = "X-Response-Seal";

    boolean isSuccess() {
        return status >= 200 && status < 300;
    }

    /** Whether the instance says that it failed on its own account. */
    boolean isFailure() {
        return status >= 500;
    }

    boolean isSealed() {
        return headers.get(SEAL) != null;
    }
}
