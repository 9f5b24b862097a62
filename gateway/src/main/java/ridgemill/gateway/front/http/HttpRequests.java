package ridgemill.gateway.front.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.math.BigDecimal;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import ridgemill.core.Command;
import ridgemill.core.Gate;
import ridgemill.gateway.net.Content;
import ridgemill.gateway.net.StrictHttp;
import ridgemill.gateway.net.Targets;
import ridgemill.policy.Router.Request;
import ridgemill.route.Query;

/** Reads what an HTTP request asks for: a call, a look at whether the proxy is up, or nothing that can be made sense of. */
final class HttpRequests {

        private static final String UP = "/up";
    private static final Pattern ID = Pattern.compile("[0-9A-Za-z_-]{1,64}");
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
        String path = Targets.path(in.uri());
        HttpMethod method = in.method();
        boolean api = path.startsWith(Targets.API) && path.length() > Targets.API.length();
        if (!api && !path.equals(UP)) {
            return new Bad(HttpResponseStatus.NOT_FOUND);
        }
        if (!method.equals(HttpMethod.GET) && !(api && method.equals(HttpMethod.PUT))) {
            return new Bad(HttpResponseStatus.METHOD_NOT_ALLOWED);
        }
        return api ? call(in, path, waitedMs, isOpen) : new Up();
    }

    private Read call(FullHttpRequest in, String path, double waitedMs, Predicate<String> isOpen) {
        HttpHeaders headers = in.headers();
        String id = headers.get("X-Call-Id", "");
        double budgetS = number(headers.get("X-Budget"), -1);
        if (!ID.matcher(id).matches() || isOpen.test(id) || !(budgetS >= 0 && budgetS <= MAX_BUDGET_S)) {
            return new Bad(HttpResponseStatus.BAD_REQUEST);
        }
        boolean write = in.method().equals(HttpMethod.PUT);
        boolean retry = "1".equals(headers.get("X-Again"));
        Gate.Entry entry = gate.apply(new Gate.Arrival(id, new Query(in.method().name(), path, headers.get("X-Caller"),
                headers::get), headers.get("X-Call-Class"), retry, in.content().readableBytes(),
                Math.max(0, budgetS * 1000 - waitedMs)));
        if (entry instanceof Gate.Refuse refuse) {
            return new Refused(refuse.retryAfterMs());
        }
        if (!(entry instanceof Gate.Go go)) {
            return new Bad(entry instanceof Gate.Unfit unfit && unfit.reason() == Gate.Reason.TOO_LARGE
                    ? HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE : HttpResponseStatus.BAD_REQUEST);
        }
        if (go.needsKey(write) && headers.get("Idempotency-Key", "").isEmpty()) {
            leave.accept(go, id);
            return new Bad(HttpResponseStatus.BAD_REQUEST);
        }
        Request request = new Request(id, go.service().name(), headers.get("X-Caller"), Targets.hash(path),
                Math.max(0, number(headers.get("X-Call-Cost"), 0)) / 1000, go.budgetMs(), write, retry);
        Content content = new Content(Unpooled.wrappedBuffer(ByteBufUtil.getBytes(in.content())),
                headers.get(HttpHeaderNames.CONTENT_TYPE));
        return new Call(go, request, new Command<>(write, in.uri(), headers.get("Idempotency-Key"), content));
    }

    private static double number(String text, double absent) {
        if (text == null) {
            return absent;
        }
        try {
            return new BigDecimal(text.trim()).doubleValue();
        } catch (NumberFormatException e) {
            return absent;
        }
    }
}
