package ridgemill.cdn.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import ridgemill.cdn.proxy.http.Headers;
import ridgemill.cdn.proxy.http.MessageWriter;

/**
 * A request as it goes to instances.
 *
 * @param method its method
 * @param target its path and query
 * @param attemptId the id that its answer carries
 * @param headers the end-to-end headers, without those that each attempt sets
 * @param body its whole body
 * @param hashKey a hash that decides which instances are asked
 * @param targetLatencyMs the time within which an answer is in time, in milliseconds
 */
record OutgoingRequest(
        String method,
        String target,
        String attemptId,
        Headers headers,
        byte[] body,
        long hashKey,
        double targetLatencyMs) {

    private static final String EXPECTED_INSTANCE = "X-Expected-Instance";

    /** A client's request, passed on. */
    static OutgoingRequest of(ClientRequest request, long placeKey, double targetMs) {
        return of(request, forwardedHeaders(request), placeKey, targetMs);
    }

    /** A fetch of the whole object that a client asks for; a copy with this tag may be confirmed instead. */
    static OutgoingRequest fetch(ClientRequest request, String etag, long placeKey, double targetMs) {
        Headers headers = forwardedHeaders(request);
        for (String condition : new String[] {
            "Range", "If-Range", "If-None-Match", "If-Match", "If-Modified-Since", "If-Unmodified-Since"
        }) {
            headers.remove(condition);
        }
        if (etag != null) {
            headers.add("If-None-Match", etag);
        }
        return of(request, headers, placeKey, targetMs);
    }

    private static OutgoingRequest of(ClientRequest request, Headers headers, long placeKey, double targetMs) {
        return new OutgoingRequest(
                request.method(), request.target(), request.attemptId(), headers, request.body(), placeKey, targetMs);
    }

    private static Headers forwardedHeaders(ClientRequest request) {
        Headers passed =
                request.headers().endToEnd().remove(ClientRequest.DEADLINE).remove(EXPECTED_INSTANCE);
        return CacheHeaders.removeFrom(passed);
    }

    /**
     * The same request as it goes to a shared cache.
     *
     * @param service the service that was chosen for it
     * @param routeVersion the version of the route by which it was chosen
     * @param maxAgeMs how old a copy may be, in milliseconds; infinite if any that is fresh will do
     */
    OutgoingRequest forSharedCache(String service, long routeVersion, double maxAgeMs) {
        Headers all = Headers.of(headers.lines())
                .add(CacheHeaders.SERVICE, service)
                .add(CacheHeaders.ROUTE_VERSION, Long.toString(Math.max(0, routeVersion)));
        if (!Double.isInfinite(maxAgeMs)) {
            all.add(CacheHeaders.MAX_AGE, Long.toString((long) Math.max(0, maxAgeMs)));
        }
        return new OutgoingRequest(method, target, attemptId, all, body, hashKey, targetLatencyMs);
    }

    boolean isHead() {
        return method.equals("HEAD");
    }

    /** The bytes of an attempt at an instance, which may take so long, in milliseconds. */
    ByteBuf encode(ByteBufAllocator allocator, String instanceId, double leftMs) {
        Headers all = Headers.of(headers.lines())
                .add(ClientRequest.DEADLINE, Long.toString(Math.max(1, (long) Math.floor(leftMs))))
                .add(EXPECTED_INSTANCE, instanceId);
        return MessageWriter.request(allocator, method, target, all, body);
    }
}
