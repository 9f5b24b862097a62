package ridgemill.cdn.proxy;

import ridgemill.cdn.proxy.http.Headers;

/**
 * A request of a client: complete, or with a large body that is still to arrive.
 *
 * @param method the HTTP method
 * @param target the path and query as received
 * @param host the host name of the Host header in lower case, without the port
 * @param attemptId the identifier that the client gave to this attempt
 * @param headers all headers as received
 * @param body the complete body; empty if it is streamed
 * @param streamedBody the body if it is streamed, else null
 */
record ClientRequest(
        String method,
        String target,
        String host,
        String attemptId,
        Headers headers,
        byte[] body,
        StreamedBody streamedBody) {

    static final String ATTEMPT_ID = "X-Attempt-Id";
    static final String DEADLINE = "X-Deadline-Remaining";
    static final String OPERATION_KEY = "X-Operation-Key";

    boolean hasBody() {
        return body.length > 0 || streamedBody != null;
    }

    /** Whether a part of the body has not arrived yet. */
    boolean isBodyIncomplete() {
        return streamedBody != null && !streamedBody.isComplete();
    }

    /** The path without the query. */
    String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /** The key under which a copy of the requested object is cached: host, path and query. */
    String cacheKey() {
        return host + target;
    }

    /** How long the client will wait, in milliseconds; infinite if the header is absent or malformed. */
    double remainingMs() {
        String text = headers.get(DEADLINE);
        if (text == null || text.isEmpty() || text.length() > 12) {
            return Double.POSITIVE_INFINITY;
        }
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return Double.POSITIVE_INFINITY;
        }
    }
}
