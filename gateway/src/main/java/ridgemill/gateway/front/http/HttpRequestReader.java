package ridgemill.gateway.front.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.math.BigDecimal;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.DoubleUnaryOperator;
import java.util.function.Function;
import java.util.function.Predicate;
import ridgemill.core.Command;
import ridgemill.core.AdmissionController;
import ridgemill.deadline.ClientTimeout;
import ridgemill.deadline.ClientTimeout.Format;
import ridgemill.gateway.net.BodyStream;
import ridgemill.gateway.net.Content;
import ridgemill.gateway.net.LeanHttp;
import ridgemill.gateway.net.StrictHttp;
import ridgemill.gateway.net.Targets;
import ridgemill.policy.Router.Request;
import ridgemill.route.RouteQuery;

/** Classifies HTTP requests: a call, a query of readiness or of an outcome, or an invalid request. */
final class HttpRequestReader {

    /** Path of readiness queries. */
    private static final String UP = "/up";
    private static final String OUTCOME_PATH_PREFIX = "/outcome/";
    private static final String GET = "GET";
    private static final String PUT = "PUT";
    /** Header with the timeout in seconds. */
    private static final String SECONDS = HttpClientPolicy.timeoutHeader(Format.SECONDS);
    private static final int MAX_ID_LENGTH = 64;
    /** A whole number of up to this many digits is exact as {@code double}. */
    private static final int MAX_EXACT_DIGITS = 15;
    private static final int MAX_KEY_LENGTH = 512;

    /** Access to a message's header fields. */
    interface HeaderFields {

        /** Returns the first value of a field; null if the message does not have it. */
        String get(String name);

        /** Returns whether the message has the field more than once. */
        boolean repeats(String name);
    }

    /** The result of reading a request. */
    sealed interface ParsedRequest { }

    /** A call for the routing policy, with its admission. */
    record Call(AdmissionController.Admitted admitted, Request request, Command<Content> command)
            implements ParsedRequest { }

    /** A request that a limit rejects, with the class that it names and the time after which its client may retry. */
    record Rejected(String requestedClass, double retryAfterMs) implements ParsedRequest { }

    /** A query whether the proxy is ready. */
    record ReadinessQuery() implements ParsedRequest { }

    /** A query for the outcome of a tenant's idempotency key. */
    record OutcomeQuery(String key, String tenant) implements ParsedRequest { }

    /** A request that is answered with an error status. */
    record InvalidRequest(HttpResponseStatus status) implements ParsedRequest { }

    private final Function<AdmissionController.AdmissionRequest, AdmissionController.Decision> admission;
    private final BiConsumer<AdmissionController.Admitted, String> withdrawal;
    private HttpClientPolicy policy = HttpClientPolicy.PLATFORM;
    private boolean outcomeQueriesEnabled;

    /**
     * @param admission decides on the admission of a call
     * @param withdrawal withdraws an admitted call, by its id
     */
    HttpRequestReader(Function<AdmissionController.AdmissionRequest, AdmissionController.Decision> admission,
                      BiConsumer<AdmissionController.Admitted, String> withdrawal) {
        this.admission = admission;
        this.withdrawal = withdrawal;
    }

    /** Sets the policy that says how clients may state their timeouts, from now on. */
    void policy(HttpClientPolicy newPolicy) {
        policy = newPolicy;
    }

    /**
     * Reads a request.
     *
     * @param remainingMs maps the client's timeout to the time that remains of it here, both in milliseconds
     * @param isOpen tells whether an id is in use
     */
    ParsedRequest read(FullHttpRequest request, DoubleUnaryOperator remainingMs, Predicate<String> isOpen) {
        return read(request, request.content(), null, remainingMs, isOpen, admitted -> true);
    }

    /**
     * Reads a request whose body is still being received.
     *
     * @param acceptsStreaming tells whether an admitted request may be processed before its body is complete
     */
    ParsedRequest read(RequestAggregator.StreamingRequest request, DoubleUnaryOperator remainingMs,
                       Predicate<String> isOpen, Predicate<AdmissionController.Admitted> acceptsStreaming) {
        return read(request.head(), request.firstPart(), request.rest(), remainingMs, isOpen, acceptsStreaming);
    }

    private ParsedRequest read(HttpRequest head, ByteBuf body, BodyStream rest, DoubleUnaryOperator remainingMs,
                               Predicate<String> isOpen, Predicate<AdmissionController.Admitted> acceptsStreaming) {
        if (head.decoderResult().isFailure() || StrictHttp.oddCoding(head)) {
            return new InvalidRequest(HttpResponseStatus.BAD_REQUEST);
        }
        return read(head.method().name(), head.uri(), new HeaderFields() {
            @Override
            public String get(String name) {
                return head.headers().get(name);
            }

            @Override
            public boolean repeats(String name) {
                return head.headers().getAll(name).size() > 1;
            }
        }, body, rest, remainingMs, isOpen, acceptsStreaming);
    }

    /** Reads a request of the fast path. The caller keeps ownership of {@code body}. */
    ParsedRequest read(LeanHttp request, ByteBuf body, DoubleUnaryOperator remainingMs, Predicate<String> isOpen) {
        return read(request.isPut() ? PUT : GET, request.target(), new HeaderFields() {
            @Override
            public String get(String name) {
                return request.get(name);
            }

            @Override
            public boolean repeats(String name) {
                return request.repeats(name);
            }
        }, body, null, remainingMs, isOpen, admitted -> true);
    }

    private ParsedRequest read(String method, String requestTarget, HeaderFields headers, ByteBuf body, BodyStream rest,
                               DoubleUnaryOperator remainingMs, Predicate<String> isOpen,
                               Predicate<AdmissionController.Admitted> acceptsStreaming) {
        String target = Targets.origin(requestTarget);
        String path = Targets.path(target);
        if (path.startsWith(OUTCOME_PATH_PREFIX) && outcomeQueriesEnabled) {
            return method.equals(GET) ? outcome(path.substring(OUTCOME_PATH_PREFIX.length()), headers.get("X-Caller"))
                    : new InvalidRequest(HttpResponseStatus.METHOD_NOT_ALLOWED);
        }
        boolean api = path.startsWith(Targets.API) && path.length() > Targets.API.length();
        if (!api && !path.equals(UP)) {
            return new InvalidRequest(HttpResponseStatus.NOT_FOUND);
        }
        if (!method.equals(GET) && !(api && method.equals(PUT))) {
            return new InvalidRequest(HttpResponseStatus.METHOD_NOT_ALLOWED);
        }
        return api ? call(method, target, path, headers, body, rest, remainingMs, isOpen, acceptsStreaming)
                : new ReadinessQuery();
    }

    /** Serves queries for outcomes of idempotency keys from now on. */
    void enableOutcomeQueries() {
        outcomeQueriesEnabled = true;
    }

    private static ParsedRequest outcome(String text, String tenant) {
        try {
            String key = URLDecoder.decode(text, StandardCharsets.UTF_8);
            return key.isEmpty() || key.length() > MAX_KEY_LENGTH ? new InvalidRequest(HttpResponseStatus.NOT_FOUND)
                    : new OutcomeQuery(key, tenant);
        } catch (IllegalArgumentException e) {
            return new InvalidRequest(HttpResponseStatus.BAD_REQUEST);
        }
    }

    /**
     * Returns how long the client waits, in milliseconds; infinite if only the class defines it, NaN if the headers are
     * invalid.
     */
    private double clientTimeoutMs(HeaderFields headers) {
        String seconds = policy.timeoutFormats().contains(Format.SECONDS) ? headers.get(SECONDS) : null;
        if (seconds != null && policy.timeoutFormats().size() == 1 && !headers.repeats(SECONDS)) {
            // Fast path for nearly all requests: one plain number.
            double plain = plainNumber(seconds);
            if (plain * 1000 <= ClientTimeout.MAX_MS) {
                return plain * 1000;
            }
        }
        List<ClientTimeout.RawValue> values = new ArrayList<>();
        for (Format format : policy.timeoutFormats()) {
            String name = HttpClientPolicy.timeoutHeader(format);
            String text = headers.get(name);
            if (text != null) {
                values.add(new ClientTimeout.RawValue(format, text));
                if (headers.repeats(name)) {
                    values.add(new ClientTimeout.RawValue(format, text));
                }
            }
        }
        ClientTimeout.Parsed parsed = ClientTimeout.parse(values, System.currentTimeMillis());
        return parsed instanceof ClientTimeout.Remaining remaining ? remaining.ms()
                : parsed instanceof ClientTimeout.Absent && policy.timeoutOptional() ? Double.POSITIVE_INFINITY
                : Double.NaN;
    }

    private ParsedRequest call(String method, String target, String path, HeaderFields headers, ByteBuf body,
                               BodyStream rest, DoubleUnaryOperator remainingMs, Predicate<String> isOpen,
                               Predicate<AdmissionController.Admitted> acceptsStreaming) {
        String id = headers.get("X-Call-Id");
        double clientTimeoutMs = clientTimeoutMs(headers);
        if (!isValidId(id) || isOpen.test(id) || Double.isNaN(clientTimeoutMs)) {
            return new InvalidRequest(HttpResponseStatus.BAD_REQUEST);
        }
        boolean write = method.equals(PUT);
        boolean retry = "1".equals(headers.get("X-Again"));
        String tenant = headers.get("X-Caller");
        AdmissionController.Decision decision = admission.apply(new AdmissionController.AdmissionRequest(id,
                new RouteQuery(method, path, tenant, headers::get),
                headers.get("X-Call-Class"), retry, contentLength(body, rest),
                Double.isInfinite(clientTimeoutMs) ? Double.MAX_VALUE : remainingMs.applyAsDouble(clientTimeoutMs)));
        if (decision instanceof AdmissionController.Rejected rejected) {
            return new Rejected(headers.get("X-Call-Class"), rejected.retryAfterMs());
        }
        if (!(decision instanceof AdmissionController.Admitted admitted)) {
            return new InvalidRequest(decision instanceof AdmissionController.Invalid invalid
                    && invalid.reason() == AdmissionController.InvalidReason.TOO_LARGE
                    ? HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE : HttpResponseStatus.BAD_REQUEST);
        }
        if (rest != null && !acceptsStreaming.test(admitted)) {
            withdrawal.accept(admitted, id);
            return new InvalidRequest(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        }
        String key = headers.get("Idempotency-Key");
        if (admitted.requiresIdempotencyKey(write) && (key == null || key.isEmpty())) {
            withdrawal.accept(admitted, id);
            return new InvalidRequest(HttpResponseStatus.BAD_REQUEST);
        }
        double budgetMs = Double.isInfinite(clientTimeoutMs)
                ? remainingMs.applyAsDouble(Math.min(admitted.budgetMs(), admitted.serviceClass().deadlineMs()))
                : admitted.budgetMs();
        Request request = new Request(id, admitted.serviceClass().name(), tenant, Targets.hash(path),
                Math.max(0, number(headers.get("X-Call-Cost"), 0)) / 1000, budgetMs, write, retry, rest != null);
        String mediaType = headers.get("Content-Type");
        Content content = !body.isReadable() && mediaType == null && rest == null ? Content.EMPTY
                : new Content(Unpooled.wrappedBuffer(ByteBufUtil.getBytes(body)), mediaType, rest);
        return new Call(admitted, request, new Command<>(write, target, key, content));
    }

    /** Returns the length of the whole body; {@code Long.MAX_VALUE} if it is not known before the end. */
    private static long contentLength(ByteBuf body, BodyStream rest) {
        return rest == null ? body.readableBytes() : rest.length() < 0 ? Long.MAX_VALUE : rest.length();
    }

    private static boolean isValidId(String text) {
        if (text == null || text.isEmpty() || text.length() > MAX_ID_LENGTH) {
            return false;
        }
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (!(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_')) {
                return false;
            }
        }
        return true;
    }

    private static double number(String text, double absent) {
        if (text == null) {
            return absent;
        }
        double plain = plainNumber(text);
        if (!Double.isNaN(plain)) {
            return plain;
        }
        try {
            return new BigDecimal(text.trim()).doubleValue();
        } catch (NumberFormatException e) {
            return absent;
        }
    }

    /** Parses digits with at most one point between them, the format of nearly every number; NaN for anything else. */
    private static double plainNumber(String text) {
        long digits = 0;
        long scale = 0;
        if (text.isEmpty() || text.length() > MAX_EXACT_DIGITS || text.charAt(0) == '.') {
            return Double.NaN;
        }
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c >= '0' && c <= '9') {
                digits = 10 * digits + c - '0';
                scale *= 10;
            } else if (c == '.' && scale == 0 && i + 1 < text.length()) {
                scale = 1;
            } else {
                return Double.NaN;
            }
        }
        // Both operands are exact, so the result is the nearest double to the quotient, the same as BigDecimal gives.
        return scale == 0 ? digits : (double) digits / scale;
    }
}
