package ridgemill.cdn.proxy;

import ridgemill.cdn.proxy.http.Headers;

/**
 * A whole request of a client.
 *
 * @param method its method
 * @param target its path and query as they came
 * @param host its Host header in lower case, without a port
 * @param attemptId the client's id of this try
 * @param headers all its headers as they came
 * @param body its whole body
 */
record ClientRequest(String method, String target, String host, String attemptId, Headers headers, byte[] body) {

    static final String ATTEMPT_ID = "X-Attempt-Id";
    static final String DEADLINE = "X-Deadline-Remaining";
    static final String OPERATION_KEY = "X-Operation-Key";

    /** The path without its query. */
    String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /** What a copy of its object is kept under. */
    String cacheKey() {
        return host + target;
    }

    /** How long the client will wait, in milliseconds; infinite if it did not say so in a way that makes sense. */
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
