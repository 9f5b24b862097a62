package ridgemill.cdn.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import ridgemill.cdn.proxy.http.Headers;
import ridgemill.cdn.proxy.http.MessageWriter;

/**
 * A request as it is sent to instances.
 *
 * @param method the HTTP method
 * @param target the path and query
 * @param attemptId the attempt identifier that the response carries
 * @param headers the end-to-end headers, without those that each attempt sets
 * @param body the complete body; empty if it is streamed
 * @param streamedBody the body if it is streamed, else null
 * @param hashKey the hash by which instances are selected
 * @param targetLatencyMs the latency within which a response counts as timely, in milliseconds
 */
record OutgoingRequest(
        String method,
        String target,
        String attemptId,
        Headers headers,
        byte[] body,
        StreamedBody streamedBody,
        long hashKey,
        double targetLatencyMs) {

    private static final String EXPECTED_INSTANCE = "X-Expected-Instance";

    /** Forwards a client's request. */
    static OutgoingRequest of(ClientRequest request, long hashKey, double targetLatencyMs) {
        return of(request, forwardedHeaders(request), hashKey, targetLatencyMs);
    }

    /** Fetches the complete object that a client asks for, or revalidates a copy if {@code etag} is not null. */
    static OutgoingRequest fetch(ClientRequest request, String etag, long hashKey, double targetLatencyMs) {
        Headers headers = forwardedHeaders(request);
        for (String condition : new String[] {
            "Range", "If-Range", "If-None-Match", "If-Match", "If-Modified-Since", "If-Unmodified-Since"
        }) {
            headers.remove(condition);
        }
        if (etag != null) {
            headers.add("If-None-Match", etag);
        }
        return of(request, headers, hashKey, targetLatencyMs);
    }

    private static OutgoingRequest of(ClientRequest request, Headers headers, long hashKey, double targetLatencyMs) {
        return new OutgoingRequest(
                request.method(),
                request.target(),
                request.attemptId(),
                headers,
                request.body(),
                request.streamedBody(),
                hashKey,
                targetLatencyMs);
    }

    private static Headers forwardedHeaders(ClientRequest request) {
        Headers passed =
                request.headers().endToEnd().remove(ClientRequest.DEADLINE).remove(EXPECTED_INSTANCE);
        return CacheHeaders.removeFrom(passed);
    }

    /**
     * The same request as sent to a shared cache.
     *
     * @param service the service that was selected for it
     * @param routeVersion the version of the route that selected the service
     * @param maxAgeMs the maximum age of a copy, in milliseconds; infinite if any fresh copy is acceptable
     */
    OutgoingRequest forSharedCache(String service, long routeVersion, double maxAgeMs) {
        Headers all = Headers.of(headers.lines())
                .add(CacheHeaders.SERVICE, service)
                .add(CacheHeaders.ROUTE_VERSION, Long.toString(Math.max(0, routeVersion)));
        if (!Double.isInfinite(maxAgeMs)) {
            all.add(CacheHeaders.MAX_AGE, Long.toString((long) Math.max(0, maxAgeMs)));
        }
        return new OutgoingRequest(method, target, attemptId, all, body, streamedBody, hashKey, targetLatencyMs);
    }

    /** Whether the request may be sent to another instance: no part of a streamed body has been passed on. */
    boolean isRepeatable() {
        return streamedBody == null || !streamedBody.isStarted();
    }

    /**
     * When the last byte of the request was passed on, in milliseconds: the time of an upload is not that of its
     * instance.
     *
     * @param sentAtMs when the request, or the head of a streamed one, was sent
     */
    double completeAtMs(double sentAtMs) {
        return streamedBody != null && streamedBody.isComplete() ? streamedBody.completedAtMs() : sentAtMs;
    }

    boolean isHead() {
        return method.equals("HEAD");
    }

    /**
     * Encodes the request for one attempt, without a streamed body.
     *
     * @param instanceId the instance that is expected to receive it
     * @param remainingMs the time until the deadline, in milliseconds
     */
    ByteBuf encode(ByteBufAllocator allocator, String instanceId, double remainingMs) {
        Headers all = Headers.of(headers.lines())
                .add(ClientRequest.DEADLINE, Long.toString(Math.max(1, (long) Math.floor(remainingMs))))
                .add(EXPECTED_INSTANCE, instanceId);
        return streamedBody == null
                ? MessageWriter.request(allocator, method, target, all, body)
                : MessageWriter.requestHead(allocator, method, target, all, streamedBody.length());
    }
}
