package ridgemill.gateway.datacenter;

import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.Http2Headers;
import java.math.BigDecimal;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import ridgemill.core.Command;
import ridgemill.gateway.net.Content;
import ridgemill.datacenter.DatacenterPolicy;
import ridgemill.datacenter.DatacenterRouter.Indeterminate;
import ridgemill.datacenter.DatacenterRouter.ForwardOutcome;
import ridgemill.datacenter.DatacenterRouter.NotSeen;
import ridgemill.datacenter.DatacenterRouter.MayHaveRun;
import ridgemill.datacenter.DatacenterRouter.GatewayState;
import ridgemill.datacenter.DatacenterRouter.KeyStatus;
import ridgemill.datacenter.DatacenterPath;
import ridgemill.idempotency.IdempotencyRecord;

/**
 * What gateways say to each other, as fields of HTTP/2 (RFC 9113, section 8): one stream for each question. Fields that
 * begin with {@code rm-} are taken from gateways alone; no client can reach this listener's protocol without their proofs.
 */
final class DatacenterWire {

    static final String KIND = "rm-kind";
    static final String HELLO = "hello";
    static final String PROOF = "proof";
    static final String STATE = "state";
    static final String KEY = "key";
    static final String CALL = "call";
    static final String OUTCOME = "outcome";
    static final String VERSION = "rm-version";
    /** Gateways of one version understand each other; another is told so. */
    static final String THIS_VERSION = "1";
    static final String DATACENTER = "rm-hall";
    static final String NONCE = "rm-nonce";
    static final String PROOF_VALUE = "rm-proof";
    private static final String ID = "rm-id";
    private static final String REMAINING = "rm-left";
    private static final String SENT_AT = "rm-sent";
    private static final String CLASS = "rm-class";
    private static final String TENANT = "rm-tenant";
    private static final String RETRY = "rm-again";
    private static final String IDEMPOTENCY = "rm-idempotency-key";
    private static final String WORK = "rm-cost";
    private static final String DATACENTERS = "rm-halls";
    private static final String RAN = "rm-ran";
    private static final String RETRY_AFTER = "rm-back";
    private static final String LEVEL = "rm-level";
    private static final String ACCEPTING = "rm-takes";
    private static final String LEAVING = "rm-leaving";
    private static final String WINDOW = "rm-window";
    private static final String AGE = "rm-ago";
    /** The id of the call that took effect, in the answer to one that did not run again. */
    private static final String RECORDED = "rm-recorded";
    /** The idempotency key was given with another request: nothing of this one ran. */
    private static final String CONFLICT = "rm-conflict";
    private static final String CONTENT_TYPE = "content-type";
    private static final String NEVER = "never";
    private static final String MAYBE = "maybe";
    private static final String IN_PROGRESS = "out";
    private static final String UNKNOWN = "unknown";
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,14}(\\.[0-9]{1,6})?");
    private static final int MAX_DATACENTERS = 16;
    private static final int MAX_TEXT_CHARS = 1024;
    private static final int MAX_PATH_CHARS = 8192;
    /** What a head may have in all: four texts, a path, and the small ones. */
    static final int MAX_HEADER_LIST_BYTES = 16 * 1024;
    private static final double MAX_TIME_MS = 3_600_000;

    private DatacenterWire() { }

    /** What came makes no sense; nothing of it was done. */
    static final class WireException extends Exception {
        private static final long serialVersionUID = 1L;

        WireException(String what) {
            super(what);
        }
    }

    /**
     * A request that crosses.
     *
     * @param remainingMs how long its client still waits when it is written, the least time on the way there and back taken off
     */
    record Call(String id, double remainingMs, String serviceClass, String tenant, boolean retry, double workMs, DatacenterPath path,
                Command<Content> command) { }

    /**
     * How a crossing ended, as the other hall tells it, and which halls it entered beyond that one.
     *
     * @param recorded the id of the call that took effect before, in whose place this one did not run; null for none
     * @param conflict whether its idempotency key was given with another request
     */
    record Reply(ForwardOutcome outcome, Content content, double retryAfterMs, Set<String> enteredDatacenters, String recorded, boolean conflict) {

        Reply(ForwardOutcome end, Content content, double retryAfterMs, Set<String> beyond) {
            this(end, content, retryAfterMs, beyond, null, false);
        }

        /** The link has gone, or it never came to it. */
        static Reply of(ForwardOutcome end) {
            return new Reply(end, null, 0, Set.of());
        }
    }

    static Http2Headers request(String kind) {
        return new DefaultHttp2Headers().method("GET").scheme("http").path("/").authority("hall").set(KIND, kind);
    }

    /** Says when it is written, by a clock of the connection's own. */
    static void sentAt(Http2Headers h, double ms) {
        h.set(SENT_AT, number(ms));
    }

    /** When it was written by the sender's clock; not a number where it does not say. */
    static double sentAt(Http2Headers h) {
        return number(h, SENT_AT);
    }

    static Http2Headers status(int status) {
        return new DefaultHttp2Headers().status(String.valueOf(status));
    }

    /** Whether what its client chose is short enough to cross whole; a key that is cut is another key. */
    static boolean fitsHeaders(Command<Content> command, String service, String tenant) {
        for (String text : new String[] {command.idempotencyKey(), service, tenant, command.content().mediaType()}) {
            if (text != null && encode(text).length() > MAX_TEXT_CHARS) {
                return false;
            }
        }
        return command.target().length() <= MAX_PATH_CHARS;
    }

    static Http2Headers call(Call c) {
        Http2Headers h = new DefaultHttp2Headers().method(switch (c.command().action()) {
            case READ -> "GET";
            case WRITE -> "PUT";
            case DELETE -> "DELETE";
        }).scheme("http").path(c.command().target()).authority("hall").set(KIND, CALL).set(ID, c.id()).set(REMAINING, number(c.remainingMs()))
                .set(CLASS, encode(c.serviceClass())).set(DATACENTERS, String.join(",", c.path().datacenters()));
        if (!c.path().mayHaveRun().isEmpty()) {
            h.set(RAN, String.join(",", c.path().mayHaveRun()));
        }
        if (c.tenant() != null) {
            h.set(TENANT, encode(c.tenant()));
        }
        if (c.retry()) {
            h.set(RETRY, "1");
        }
        if (c.workMs() > 0) {
            h.set(WORK, number(c.workMs()));
        }
        if (c.command().idempotencyKey() != null) {
            h.set(IDEMPOTENCY, encode(c.command().idempotencyKey()));
        }
        if (c.command().content().mediaType() != null) {
            h.set(CONTENT_TYPE, encode(c.command().content().mediaType()));
        }
        return h;
    }

    /** Reads a call whose body is all here. */
    static Call call(Http2Headers h, Content content) throws WireException {
        String id = text(h, ID);
        String path = String.valueOf(h.path());
        if (id == null || id.isEmpty() || !path.startsWith("/")) {
            throw new WireException("no call");
        }
        Command.Action action = switch (String.valueOf(h.method())) {
            case "GET" -> Command.Action.READ;
            case "PUT" -> Command.Action.WRITE;
            case "DELETE" -> Command.Action.DELETE;
            default -> throw new WireException("unknown method");
        };
        double left = number(h, REMAINING);
        List<String> halls = datacenters(h, DATACENTERS);
        if (!(left >= 0 && left <= MAX_TIME_MS) || halls.isEmpty() || halls.size() > MAX_DATACENTERS) {
            throw new WireException("no time, or no hall that it comes from");
        }
        String service = decode(h, CLASS);
        if (service == null) {
            throw new WireException("no class");
        }
        String key = decode(h, IDEMPOTENCY);
        return new Call(id, left, service, decode(h, TENANT), "1".equals(text(h, RETRY)),
                h.contains(WORK) ? number(h, WORK) : 0, new DatacenterPath(halls, Set.copyOf(datacenters(h, RAN))),
                new Command<>(action, path, key, new Content(content.bytes(), decode(h, CONTENT_TYPE))));
    }

    static Http2Headers served(Content content) {
        Http2Headers h = status(content.isAbsent() ? 404 : 200);
        return content.mediaType() == null ? h : h.set(CONTENT_TYPE, encode(content.mediaType()));
    }

    /** It took effect before, by this call. */
    static Http2Headers recorded(String call) {
        return status(200).set(RECORDED, encode(call));
    }

    /** Its idempotency key was given with another request; nothing ran. */
    static Http2Headers conflict() {
        return status(422).set(RAN, NEVER).set(CONFLICT, "1");
    }

    static Http2Headers outcomeQuery(String key, String tenant) {
        Http2Headers h = request(OUTCOME).set(IDEMPOTENCY, encode(key));
        return tenant == null ? h : h.set(TENANT, encode(tenant));
    }

    static String queriedTenant(Http2Headers h) {
        return decode(h, TENANT);
    }

    /** What is known of a key; null for nothing. */
    static Http2Headers idempotencyRecord(IdempotencyRecord known, double nowMs) {
        return known == null ? status(404) : status(200).set(RAN, known.state().name()).set(ID, encode(known.callId()))
                .set(AGE, number(nowMs - known.stateSinceMs()));
    }

    /** Reads what a gateway knows of a key; null for nothing, and for what makes no sense. */
    static IdempotencyRecord idempotencyRecord(Http2Headers h, String tenant, double nowMs) {
        String call = decode(h, ID);
        double ago = h.contains(AGE) ? number(h, AGE) : Double.NaN;
        if (!"200".equals(String.valueOf(h.status())) || call == null || Double.isNaN(ago)) {
            return null;
        }
        for (IdempotencyRecord.State state : IdempotencyRecord.State.values()) {
            if (state.name().equals(text(h, RAN))) {
                return new IdempotencyRecord(state, call, tenant, 0, nowMs - ago, 0, nowMs - ago);
            }
        }
        return null;
    }

    /** An answer without a value; whether it may have run, or be running still, is of this hall and those beyond. */
    static Http2Headers rejected(int status, boolean mayHaveRun, boolean mayBeOut, double retryAfterMs, Set<String> beyond) {
        Http2Headers h = status(status).set(RAN, mayBeOut ? IN_PROGRESS : mayHaveRun ? MAYBE : NEVER);
        if (!beyond.isEmpty()) {
            h.set(DATACENTERS, String.join(",", beyond));
        }
        return retryAfterMs > 0 ? h.set(RETRY_AFTER, number(retryAfterMs)) : h;
    }

    /** Reads the answer to a call, whose body is all here. */
    static Reply reply(Http2Headers h, Content content) {
        return switch (String.valueOf(h.status())) {
            case "200" -> new Reply(ForwardOutcome.SERVED, new Content(content.bytes(), decode(h, CONTENT_TYPE)), 0, Set.of(),
                    decode(h, RECORDED), false);
            case "404" -> new Reply(ForwardOutcome.SERVED, Content.ABSENT, 0, Set.of());
            default -> {
                // Only a word to that effect shows that nothing ran.
                boolean never = NEVER.equals(text(h, RAN));
                boolean maybe = MAYBE.equals(text(h, RAN));
                double back = h.contains(RETRY_AFTER) ? number(h, RETRY_AFTER) : 0;
                try {
                    yield new Reply(never ? ForwardOutcome.REFUSED : maybe ? ForwardOutcome.FAILED : ForwardOutcome.LOST, null, Double.isNaN(back) ? 0 : back,
                            Set.copyOf(datacenters(h, DATACENTERS)), null, never && h.contains(CONFLICT));
                } catch (WireException e) {
                    yield Reply.of(ForwardOutcome.LOST);
                }
            }
        };
    }

    static Http2Headers gatewayState(GatewayState told) {
        return status(200).set(LEVEL, String.valueOf(told.level())).set(ACCEPTING, told.accepting() ? "1" : "0")
                .set(LEAVING, told.leaving() ? "1" : "0");
    }

    static GatewayState gatewayState(Http2Headers h) {
        double level = h.contains(LEVEL) ? number(h, LEVEL) : 0;
        return new GatewayState(Double.isNaN(level) ? 0 : (int) level, "1".equals(text(h, ACCEPTING)), "1".equals(text(h, LEAVING)));
    }

    static Http2Headers keyQuery(String key, double windowMs) {
        return request(KEY).set(IDEMPOTENCY, encode(key)).set(WINDOW, number(windowMs));
    }

    static String queriedKey(Http2Headers h) throws WireException {
        String key = decode(h, IDEMPOTENCY);
        if (key == null || key.isEmpty()) {
            throw new WireException("no key");
        }
        return key;
    }

    static double queriedWindowMs(Http2Headers h) throws WireException {
        double window = number(h, WINDOW);
        if (!(window > 0 && window <= MAX_TIME_MS)) {
            throw new WireException("no window");
        }
        return window;
    }

    static Http2Headers keyStatus(KeyStatus word) {
        Http2Headers h = status(200);
        return word instanceof MayHaveRun ran ? h.set(RAN, ran.datacenter()).set(AGE, number(ran.ageMs()))
                : h.set(RAN, word instanceof NotSeen ? NEVER : UNKNOWN);
    }

    static KeyStatus keyStatus(Http2Headers h) {
        String ran = text(h, RAN);
        double ago = h.contains(AGE) ? number(h, AGE) : Double.NaN;
        if (ran == null || !"200".equals(String.valueOf(h.status())) || ran.equals(UNKNOWN)) {
            return new Indeterminate();
        }
        return ran.equals(NEVER) ? new NotSeen() : Double.isNaN(ago) ? new Indeterminate() : new MayHaveRun(ran, ago);
    }

    /** A field as text; null where there is none. */
    static String text(Http2Headers h, String name) {
        CharSequence value = h.get(name);
        return value == null || value.length() > MAX_TEXT_CHARS ? null : value.toString();
    }

    private static String number(double value) {
        return BigDecimal.valueOf(Math.max(0, Math.round(value * 1000)), 3).toPlainString();
    }

    private static double number(Http2Headers h, String name) {
        String text = text(h, name);
        return text != null && NUMBER.matcher(text).matches() ? Double.parseDouble(text) : Double.NaN;
    }

    private static List<String> datacenters(Http2Headers h, String name) throws WireException {
        String text = text(h, name);
        if (text == null || text.isEmpty()) {
            return List.of();
        }
        List<String> names = Arrays.asList(text.split(","));
        if (!names.stream().allMatch(DatacenterPolicy::isValidName)) {
            throw new WireException("no names of halls: " + name);
        }
        return names;
    }

    /** What clients chose may hold any character; fields may not (RFC 9113, section 8.2.1). */
    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    private static String decode(Http2Headers h, String name) {
        String text = text(h, name);
        try {
            return text == null ? null : URLDecoder.decode(text, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            return null;
        }
    }
}
