package ridgemill.cdn.proxy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import ridgemill.cdn.edge.ByteRange;
import ridgemill.cdn.edge.CachedObject;
import ridgemill.cdn.edge.EntityTags;
import ridgemill.cdn.proxy.control.OperationRegister.RecordedResponse;
import ridgemill.cdn.proxy.http.Headers;

/**
 * The one answer that a client gets.
 *
 * @param status its HTTP status
 * @param headers names and values in turn, without the length of the body
 * @param contentLength the length to state; negative for none
 * @param body its whole body
 */
record FinalResponse(int status, List<String> headers, long contentLength, byte[] body) {

    private static final byte[] EMPTY = {};
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final double MS_PER_SECOND = 1_000;
    /** No client is told to wait less, in milliseconds. */
    private static final double MIN_RETRY_AFTER_MS = 20;

    /** An answer of this proxy's own, without a body. */
    static FinalResponse generated(int status, String attemptId) {
        List<String> headers = new ArrayList<>(4);
        if (attemptId != null) {
            headers.add(ClientRequest.ATTEMPT_ID);
            headers.add(attemptId);
        }
        return new FinalResponse(status, headers, 0, EMPTY);
    }

    /** An answer of this proxy's own that tells the client when to come back. */
    static FinalResponse retryLater(int status, String attemptId, double waitMs) {
        FinalResponse answer = generated(status, attemptId);
        long thousandths = Math.round(Math.max(MIN_RETRY_AFTER_MS, waitMs));
        answer.headers.add("Retry-After");
        answer.headers.add(Double.toString(thousandths / MS_PER_SECOND));
        return answer;
    }

    /** The same answer with one more header. */
    FinalResponse addHeader(String name, String value) {
        headers.add(name);
        headers.add(value);
        return this;
    }

    /** An instance's answer, passed on unchanged. */
    static FinalResponse of(InstanceResponse answer, boolean toHead) {
        boolean bodiless = answer.status() == NO_CONTENT || answer.status() == NOT_MODIFIED;
        long length = toHead ? answer.contentLength() : bodiless ? -1 : answer.body().length;
        return new FinalResponse(answer.status(), answer.headers().lines(), length, answer.body());
    }

    /** The recorded answer of an operation, given again. */
    static FinalResponse of(RecordedResponse answer, String attemptId) {
        List<String> headers = withAttemptId(answer.headers(), attemptId);
        long length = answer.status() == NO_CONTENT ? -1 : answer.body().length;
        return new FinalResponse(answer.status(), headers, length, answer.body());
    }

    /** A copy of an object, or the part of it that the request asks for. */
    static FinalResponse of(CachedObject copy, ClientRequest request) {
        List<String> headers = withAttemptId(copy.headers(), request.attemptId());
        if (EntityTags.matches(request.headers().get("If-None-Match"), copy.etag())) {
            return new FinalResponse(NOT_MODIFIED, headers, -1, EMPTY);
        }
        ByteRange range = requestedRange(copy, request.headers());
        if (range == null) {
            return new FinalResponse(200, headers, copy.body().length, copy.body());
        }
        int length = copy.body().length;
        headers.add("Content-Range");
        if (!range.isSatisfiable(length)) {
            headers.add("bytes */" + length);
            return new FinalResponse(416, headers, 0, EMPTY);
        }
        int from = (int) range.first();
        int to = (int) range.lastByteWithin(length) + 1;
        headers.add("bytes " + from + "-" + (to - 1) + "/" + length);
        return new FinalResponse(206, headers, to - from, Arrays.copyOfRange(copy.body(), from, to));
    }

    private static ByteRange requestedRange(CachedObject copy, Headers asked) {
        String onlyIf = asked.get("If-Range");
        boolean applies = asked.count("Range") == 1 && (onlyIf == null || onlyIf.equals(copy.etag()));
        return applies ? ByteRange.parse(asked.get("Range")) : null;
    }

    private static List<String> withAttemptId(List<String> headers, String attemptId) {
        List<String> all = new ArrayList<>(headers.size() + 4);
        all.addAll(headers);
        all.add(ClientRequest.ATTEMPT_ID);
        all.add(attemptId);
        return all;
    }
}
