package ridgemill.gateway.front.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.math.BigDecimal;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import ridgemill.core.Command;
import ridgemill.core.Gate;
import ridgemill.gateway.net.Content;
import ridgemill.gateway.net.LeanHttp;
import ridgemill.gateway.net.StrictHttp;
import ridgemill.gateway.net.Targets;
import ridgemill.policy.Router.Request;
import ridgemill.route.Query;

/** Reads what an HTTP request asks for: a call, a look at whether the proxy is up, or nothing that can be made sense of. */
final class HttpRequests {

        private static final String UP = "/up";
    private static final String GET = "GET";
    private static final String PUT = "PUT";
    private static final int LONGEST_ID = 64;
    /** As many digits as a whole number of this type surely holds. */
    private static final int EXACT_DIGITS = 15;
    /** A budget past this is a mistake, and as a timer would outlive the process. */
    private static final double MAX_BUDGET_S = 3600;

    /** What a request turned out to be. */
    sealed interface Read { }

    /** A request for the decision module, and how the gate let it on. */
    record Call(Gate.Go go, Request request, Command<Content> command) implements Read { }

    /** A request that a limit turns away, and when its client may come back. */
    record Refused(double retryAfterMs) implements Read { }

    /** A look at whether the proxy is up. */
    record Up() implements Read { }

    /** Something that is answered with an error. */
    record Bad(HttpResponseStatus status) implements Read { }

    private final Function<Gate.Arrival, Gate.Entry> gate;
    private final BiConsumer<Gate.Go, String> leave;

    /** {@code gate} says what becomes of a call; {@code leave} takes back one that it let on, by its id. */
    HttpRequests(Function<Gate.Arrival, Gate.Entry> gate, BiConsumer<Gate.Go, String> leave) {
        this.gate = gate;
        this.leave = leave;
    }

    /** Reads a request that has waited here for so long; {@code isOpen} knows the ids that are in use. */
    Read read(FullHttpRequest in, double waitedMs, Predicate<String> isOpen) {
        if (in.decoderResult().isFailure() || StrictHttp.oddCoding(in)) {
            return new Bad(HttpResponseStatus.BAD_REQUEST);
        }
        return read(in.method().name(), in.uri(), in.headers()::get, in.content(), waitedMs, isOpen);
    }

    /** The same of one that was read as it came; {@code body} stays its holder's. */
    Read read(LeanHttp in, ByteBuf body, Predicate<String> isOpen) {
        return read(in.isPut() ? PUT : GET, in.target(), in::get, body, 0, isOpen);
    }

    private Read read(String method, String target, UnaryOperator<String> headers, ByteBuf body, double waitedMs,
                      Predicate<String> isOpen) {
        String path = Targets.path(target);
        boolean api = path.startsWith(Targets.API) && path.length() > Targets.API.length();
        if (!api && !path.equals(UP)) {
            return new Bad(HttpResponseStatus.NOT_FOUND);
        }
        if (!method.equals(GET) && !(api && method.equals(PUT))) {
            return new Bad(HttpResponseStatus.METHOD_NOT_ALLOWED);
        }
        return api ? call(method, target, path, headers, body, waitedMs, isOpen) : new Up();
    }

    private Read call(String method, String target, String path, UnaryOperator<String> headers, ByteBuf body,
                      double waitedMs, Predicate<String> isOpen) {
        String id = headers.apply("X-Call-Id");
        double budgetS = number(headers.apply("X-Budget"), -1);
        if (!isId(id) || isOpen.test(id) || !(budgetS >= 0 && budgetS <= MAX_BUDGET_S)) {
            return new Bad(HttpResponseStatus.BAD_REQUEST);
        }
        boolean write = method.equals(PUT);
        boolean retry = "1".equals(headers.apply("X-Again"));
        String tenant = headers.apply("X-Caller");
        Gate.Entry entry = gate.apply(new Gate.Arrival(id, new Query(method, path, tenant, headers),
                headers.apply("X-Call-Class"), retry, body.readableBytes(), Math.max(0, budgetS * 1000 - waitedMs)));
        if (entry instanceof Gate.Refuse refuse) {
            return new Refused(refuse.retryAfterMs());
        }
        if (!(entry instanceof Gate.Go go)) {
            return new Bad(entry instanceof Gate.Unfit unfit && unfit.reason() == Gate.Reason.TOO_LARGE
                    ? HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE : HttpResponseStatus.BAD_REQUEST);
        }
        String key = headers.apply("Idempotency-Key");
        if (go.needsKey(write) && (key == null || key.isEmpty())) {
            leave.accept(go, id);
            return new Bad(HttpResponseStatus.BAD_REQUEST);
        }
        Request request = new Request(id, go.service().name(), tenant, Targets.hash(path),
                Math.max(0, number(headers.apply("X-Call-Cost"), 0)) / 1000, go.budgetMs(), write, retry);
        String mediaType = headers.apply("Content-Type");
        Content content = !body.isReadable() && mediaType == null ? Content.EMPTY
                : new Content(Unpooled.wrappedBuffer(ByteBufUtil.getBytes(body)), mediaType);
        return new Call(go, request, new Command<>(write, target, key, content));
    }

    private static boolean isId(String text) {
        if (text == null || text.isEmpty() || text.length() > LONGEST_ID) {
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
        if (text.isEmpty() || text.length() > EXACT_DIGITS || text.charAt(0) == '.') {
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
