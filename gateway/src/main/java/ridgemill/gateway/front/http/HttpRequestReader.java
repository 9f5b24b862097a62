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

/** Reads what an HTTP request asks for: a call, a look at whether the proxy is up, or nothing that can be made sense of. */
final class HttpRequestReader {

    private static final String READINESS_PATH = "/up";
    private static final String OUTCOME_PATH_PREFIX = "/outcome/";
    private static final String GET = "GET";
    private static final String PUT = "PUT";
    private static final String SECONDS_HEADER = HttpClientPolicy.timeoutHeader(Format.SECONDS);
    private static final int MAX_ID_LENGTH = 64;
    /** As many digits as a whole number of this type surely holds. */
    private static final int MAX_EXACT_DIGITS = 15;
    private static final int MAX_KEY_LENGTH = 512;

    /** A message's header lines. */
    interface HeaderFields {

        /** The first line of a name; null where it has none. */
        String get(String name);

        /** Whether it has more than one. */
        boolean repeats(String name);
    }

    /** What a request turned out to be. */
    sealed interface ParsedRequest { }

    /** A request for the decision module, and how the gate let it on. */
    record Call(AdmissionController.Admitted admitted, Request request, Command<Content> command) implements ParsedRequest { }

    /** A request that a limit turns away, the class that it names, and when its client may come back. */
    record Rejected(String requestedClass, double retryAfterMs) implements ParsedRequest { }

    /** A look at whether the proxy is up. */
    record ReadinessQuery() implements ParsedRequest { }

    /** A question what an idempotency key came to, and whose it is. */
    record OutcomeQuery(String key, String tenant) implements ParsedRequest { }

    /** Something that is answered with an error. */
    record InvalidRequest(HttpResponseStatus status) implements ParsedRequest { }

    private final Function<AdmissionController.AdmissionRequest, AdmissionController.Decision> admission;
    private final BiConsumer<AdmissionController.Admitted, String> withdrawal;
    private HttpClientPolicy policy = HttpClientPolicy.PLATFORM;
    private boolean outcomeQueriesEnabled;

    /** {@code gate} says what becomes of a call; {@code leave} takes back one that it let on, by its id. */
    HttpRequestReader(Function<AdmissionController.AdmissionRequest, AdmissionController.Decision> gate, BiConsumer<AdmissionController.Admitted, String> leave) {
        this.admission = gate;
        this.withdrawal = leave;
    }

    /** How clients may say their time from now on. */
    void policy(HttpClientPolicy next) {
        policy = next;
    }

    /**
     * Reads a request.
     *
     * @param left what its client's time, in milliseconds, comes to here
     * @param isOpen knows the ids that are in use
     */
    ParsedRequest read(FullHttpRequest in, DoubleUnaryOperator left, Predicate<String> isOpen) {
        return read(in, in.content(), null, left, isOpen, go -> true);
    }

    /**
     * The same of one whose body is still coming.
     *
     * @param takesOpen whether one that the gate lets on may go on before it is whole
     */
    ParsedRequest read(RequestAggregator.StreamingRequest in, DoubleUnaryOperator left, Predicate<String> isOpen, Predicate<AdmissionController.Admitted> takesOpen) {
        return read(in.head(), in.firstPart(), in.rest(), left, isOpen, takesOpen);
    }

    private ParsedRequest read(HttpRequest head, ByteBuf body, BodyStream rest, DoubleUnaryOperator left, Predicate<String> isOpen,
                      Predicate<AdmissionController.Admitted> takesOpen) {
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
        }, body, rest, left, isOpen, takesOpen);
    }

    /** The same of one that was read as it came; {@code body} stays its holder's. */
    ParsedRequest read(LeanHttp in, ByteBuf body, DoubleUnaryOperator left, Predicate<String> isOpen) {
        return read(in.isPut() ? PUT : GET, in.target(), new HeaderFields() {
            @Override
            public String get(String name) {
                return in.get(name);
            }

            @Override
            public boolean repeats(String name) {
                return in.repeats(name);
            }
        }, body, null, left, isOpen, go -> true);
    }

    private ParsedRequest read(String method, String asked, HeaderFields headers, ByteBuf body, BodyStream rest, DoubleUnaryOperator left,
                      Predicate<String> isOpen, Predicate<AdmissionController.Admitted> takesOpen) {
        String target = Targets.origin(asked);
        String path = Targets.path(target);
        if (path.startsWith(OUTCOME_PATH_PREFIX) && outcomeQueriesEnabled) {
            return method.equals(GET) ? outcome(path.substring(OUTCOME_PATH_PREFIX.length()), headers.get("X-Caller"))
                    : new InvalidRequest(HttpResponseStatus.METHOD_NOT_ALLOWED);
        }
        boolean api = path.startsWith(Targets.API) && path.length() > Targets.API.length();
        if (!api && !path.equals(READINESS_PATH)) {
            return new InvalidRequest(HttpResponseStatus.NOT_FOUND);
        }
        if (!method.equals(GET) && !(api && method.equals(PUT))) {
            return new InvalidRequest(HttpResponseStatus.METHOD_NOT_ALLOWED);
        }
        return api ? call(method, target, path, headers, body, rest, left, isOpen, takesOpen) : new ReadinessQuery();
    }

    /** Outcomes of idempotency keys may be asked for from now on. */
    void enableOutcomeQueries() {
        outcomeQueriesEnabled = true;
    }

    private static ParsedRequest outcome(String text, String tenant) {
        try {
            String key = URLDecoder.decode(text, StandardCharsets.UTF_8);
            return key.isEmpty() || key.length() > MAX_KEY_LENGTH ? new InvalidRequest(HttpResponseStatus.NOT_FOUND) : new OutcomeQuery(key, tenant);
        } catch (IllegalArgumentException e) {
            return new InvalidRequest(HttpResponseStatus.BAD_REQUEST);
        }
    }

    /** How long the client waits, in milliseconds; infinite where its class alone tells, not a number for nonsense. */
    private double clientTimeoutMs(HeaderFields headers) {
        String seconds = policy.timeoutFormats().contains(Format.SECONDS) ? headers.get(SECONDS_HEADER) : null;
        if (seconds != null && policy.timeoutFormats().size() == 1 && !headers.repeats(SECONDS_HEADER)) {
            // As nearly all come: one plain number.
            double plain = plainNumber(seconds);
            if (plain * 1000 <= ClientTimeout.MAX_MS) {
                return plain * 1000;
            }
        }
        List<ClientTimeout.RawValue> claims = new ArrayList<>();
        for (Format form : policy.timeoutFormats()) {
            String name = HttpClientPolicy.timeoutHeader(form);
            String text = headers.get(name);
            if (text != null) {
                claims.add(new ClientTimeout.RawValue(form, text));
                if (headers.repeats(name)) {
                    claims.add(new ClientTimeout.RawValue(form, text));
                }
            }
        }
        ClientTimeout.Parsed reading = ClientTimeout.parse(claims, System.currentTimeMillis());
        return reading instanceof ClientTimeout.Remaining l ? l.ms()
                : reading instanceof ClientTimeout.Absent && policy.timeoutOptional() ? Double.POSITIVE_INFINITY : Double.NaN;
    }

    private ParsedRequest call(String method, String target, String path, HeaderFields headers, ByteBuf body, BodyStream rest,
                      DoubleUnaryOperator left, Predicate<String> isOpen, Predicate<AdmissionController.Admitted> takesOpen) {
        String id = headers.get("X-Call-Id");
        double saidMs = clientTimeoutMs(headers);
        if (!isValidId(id) || isOpen.test(id) || Double.isNaN(saidMs)) {
            return new InvalidRequest(HttpResponseStatus.BAD_REQUEST);
        }
        boolean write = method.equals(PUT);
        boolean retry = "1".equals(headers.get("X-Again"));
        String tenant = headers.get("X-Caller");
        AdmissionController.Decision entry = admission.apply(new AdmissionController.AdmissionRequest(id, new RouteQuery(method, path, tenant, headers::get),
                headers.get("X-Call-Class"), retry, contentLength(body, rest),
                Double.isInfinite(saidMs) ? Double.MAX_VALUE : left.applyAsDouble(saidMs)));
        if (entry instanceof AdmissionController.Rejected refuse) {
            return new Rejected(headers.get("X-Call-Class"), refuse.retryAfterMs());
        }
        if (!(entry instanceof AdmissionController.Admitted go)) {
            return new InvalidRequest(entry instanceof AdmissionController.Invalid unfit && unfit.reason() == AdmissionController.InvalidReason.TOO_LARGE
                    ? HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE : HttpResponseStatus.BAD_REQUEST);
        }
        if (rest != null && !takesOpen.test(go)) {
            withdrawal.accept(go, id);
            return new InvalidRequest(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        }
        String key = headers.get("Idempotency-Key");
        if (go.requiresIdempotencyKey(write) && (key == null || key.isEmpty())) {
            withdrawal.accept(go, id);
            return new InvalidRequest(HttpResponseStatus.BAD_REQUEST);
        }
        double budgetMs = Double.isInfinite(saidMs) ? left.applyAsDouble(Math.min(go.budgetMs(), go.service().deadlineMs()))
                : go.budgetMs();
        Request request = new Request(id, go.service().name(), tenant, Targets.hash(path),
                Math.max(0, number(headers.get("X-Call-Cost"), 0)) / 1000, budgetMs, write, retry, rest != null);
        String mediaType = headers.get("Content-Type");
        Content content = !body.isReadable() && mediaType == null && rest == null ? Content.EMPTY
                : new Content(Unpooled.wrappedBuffer(ByteBufUtil.getBytes(body)), mediaType, rest);
        return new Call(go, request, new Command<>(write, target, key, content));
    }

    /** Of a body in all; the greatest number where only its end tells. */
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

    /** Digits with at most one point between them, as nearly every number comes; not a number for anything else. */
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
        // Both are exact, so this is the nearest to the quotient, as it would be by way of decimals.
        return scale == 0 ? digits : (double) digits / scale;
    }
}
