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
 * The protocol between gateways, in HTTP/2 header fields (RFC 9113, section 8), with one stream per request. Fields
 * that start with {@code rm-} are accepted only from gateways; a client cannot use this listener without their proofs.
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
    /** Only gateways of the same protocol version can connect; others are rejected. */
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
    /** The id of the call that took effect, in the response to a duplicate that did not run again. */
    private static final String RECORDED = "rm-recorded";
    /** The idempotency key was used with a different request; this request did not run. */
    private static final String CONFLICT = "rm-conflict";
    private static final String CONTENT_TYPE = "content-type";
    private static final String NEVER = "never";
    private static final String MAYBE = "maybe";
    /** Value of {@link #RAN} for a request that may still be running. */
    private static final String OUT = "out";
    private static final String UNKNOWN = "unknown";
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,14}(\\.[0-9]{1,6})?");
    private static final int MAX_DATACENTERS = 16;
    private static final int MAX_TEXT_CHARS = 1024;
    private static final int MAX_PATH_CHARS = 8192;
    /** Maximum total size of the headers: four texts, a path, and the small fields. */
    static final int MAX_HEADER_LIST_BYTES = 16 * 1024;
    private static final double MAX_TIME_MS = 3_600_000;

    private DatacenterWire() { }

    /** A message is invalid; nothing of it was executed. */
    static final class WireException extends Exception {
        private static final long serialVersionUID = 1L;

        WireException(String message) {
            super(message);
        }
    }

    /**
     * A request that is forwarded to another datacenter.
     *
     * @param remainingMs how long its client still waits when the request is written, less the shortest round trip and
     *     the time reserved for the way back
     * @param serviceClass name of its service class
     * @param retry whether the client sent it before
     * @param path the datacenters that it entered so far
     */
    record Call(String id, double remainingMs, String serviceClass, String tenant, boolean retry, double workMs,
                DatacenterPath path, Command<Content> command) { }

    /**
     * The result of a forwarded request as the other datacenter reports it, with the datacenters that it entered
     * beyond that one.
     *
     * @param recorded id of an earlier call with the same key that took effect instead of this one; null for none
     * @param conflict whether its idempotency key was used with a different request
     */
    record Reply(ForwardOutcome outcome, Content content, double retryAfterMs, Set<String> enteredDatacenters,
                 String recorded, boolean conflict) {

        Reply(ForwardOutcome outcome, Content content, double retryAfterMs, Set<String> enteredDatacenters) {
            this(outcome, content, retryAfterMs, enteredDatacenters, null, false);
        }

        /** Creates the result of a request whose link failed, or that was never sent. */
        static Reply of(ForwardOutcome outcome) {
            return new Reply(outcome, null, 0, Set.of());
        }
    }

    /** Returns the headers of a request of this kind. */
    static Http2Headers request(String kind) {
        return new DefaultHttp2Headers().method("GET").scheme("http").path("/").authority("hall").set(KIND, kind);
    }

    /** Sets the time at which a message is written, on the sender's clock of the connection. */
    static void sentAt(Http2Headers h, double ms) {
        h.set(SENT_AT, number(ms));
    }

    /** Returns the time at which a message was written, on the sender's clock; NaN if it has none. */
    static double sentAt(Http2Headers h) {
        return number(h, SENT_AT);
    }

    /** Returns the headers of a response with this status. */
    static Http2Headers status(int status) {
        return new DefaultHttp2Headers().status(String.valueOf(status));
    }

    /**
     * Whether the texts chosen by the client are short enough to be sent whole; a truncated key would be another key.
     */
    static boolean fitsHeaders(Command<Content> command, String service, String tenant) {
        for (String text : new String[] {command.idempotencyKey(), service, tenant, command.content().mediaType()}) {
            if (text != null && encode(text).length() > MAX_TEXT_CHARS) {
                return false;
            }
        }
        return command.target().length() <= MAX_PATH_CHARS;
    }

    /** Encodes the headers of a call. */
    static Http2Headers call(Call call) {
        Http2Headers h = new DefaultHttp2Headers().method(switch (call.command().action()) {
            case READ -> "GET";
            case WRITE -> "PUT";
            case DELETE -> "DELETE";
        }).scheme("http").path(call.command().target()).authority("hall").set(KIND, CALL).set(ID, call.id())
                .set(REMAINING, number(call.remainingMs()))
                .set(CLASS, encode(call.serviceClass())).set(DATACENTERS, String.join(",", call.path().datacenters()));
        if (!call.path().mayHaveRun().isEmpty()) {
            h.set(RAN, String.join(",", call.path().mayHaveRun()));
        }
        if (call.tenant() != null) {
            h.set(TENANT, encode(call.tenant()));
        }
        if (call.retry()) {
            h.set(RETRY, "1");
        }
        if (call.workMs() > 0) {
            h.set(WORK, number(call.workMs()));
        }
        if (call.command().idempotencyKey() != null) {
            h.set(IDEMPOTENCY, encode(call.command().idempotencyKey()));
        }
        if (call.command().content().mediaType() != null) {
            h.set(CONTENT_TYPE, encode(call.command().content().mediaType()));
        }
        return h;
    }

    /** Decodes a call whose body has arrived completely. */
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
        double remainingMs = number(h, REMAINING);
        List<String> datacenters = datacenters(h, DATACENTERS);
        if (!(remainingMs >= 0 && remainingMs <= MAX_TIME_MS) || datacenters.isEmpty()
                || datacenters.size() > MAX_DATACENTERS) {
            throw new WireException("no time, or no hall that it comes from");
        }
        String service = decode(h, CLASS);
        if (service == null) {
            throw new WireException("no class");
        }
        String key = decode(h, IDEMPOTENCY);
        return new Call(id, remainingMs, service, decode(h, TENANT), "1".equals(text(h, RETRY)),
                h.contains(WORK) ? number(h, WORK) : 0,
                new DatacenterPath(datacenters, Set.copyOf(datacenters(h, RAN))),
                new Command<>(action, path, key, new Content(content.bytes(), decode(h, CONTENT_TYPE))));
    }

    /** Encodes the headers of a response with a value, or with status 404 if there is none. */
    static Http2Headers served(Content content) {
        Http2Headers h = status(content.isAbsent() ? 404 : 200);
        return content.mediaType() == null ? h : h.set(CONTENT_TYPE, encode(content.mediaType()));
    }

    /** Encodes the response that the request took effect before, by this call. */
    static Http2Headers recorded(String callId) {
        return status(200).set(RECORDED, encode(callId));
    }

    /** Encodes the response that the idempotency key was used with a different request; nothing ran. */
    static Http2Headers conflict() {
        return status(422).set(RAN, NEVER).set(CONFLICT, "1");
    }

    /** Encodes a query for the record of an idempotency key. */
    static Http2Headers outcomeQuery(String key, String tenant) {
        Http2Headers h = request(OUTCOME).set(IDEMPOTENCY, encode(key));
        return tenant == null ? h : h.set(TENANT, encode(tenant));
    }

    static String queriedTenant(Http2Headers h) {
        return decode(h, TENANT);
    }

    /** Encodes the record of a key; null if there is none. */
    static Http2Headers idempotencyRecord(IdempotencyRecord found, double nowMs) {
        return found == null ? status(404) : status(200).set(RAN, found.state().name()).set(ID, encode(found.callId()))
                .set(AGE, number(nowMs - found.stateSinceMs()));
    }

    /** Decodes the record of a key; null if there is none, or if the response is invalid. */
    static IdempotencyRecord idempotencyRecord(Http2Headers h, String tenant, double nowMs) {
        String callId = decode(h, ID);
        double ageMs = h.contains(AGE) ? number(h, AGE) : Double.NaN;
        if (!"200".equals(String.valueOf(h.status())) || callId == null || Double.isNaN(ageMs)) {
            return null;
        }
        for (IdempotencyRecord.State state : IdempotencyRecord.State.values()) {
            if (state.name().equals(text(h, RAN))) {
                return new IdempotencyRecord(state, callId, tenant, 0, nowMs - ageMs, 0, nowMs - ageMs);
            }
        }
        return null;
    }

    /**
     * Encodes a response without a value. Whether the request may have run, or may still be running, is meant for this
     * datacenter and all beyond.
     */
    static Http2Headers rejected(int status, boolean mayHaveRun, boolean mayBeInProgress, double retryAfterMs,
                                 Set<String> enteredDatacenters) {
        Http2Headers h = status(status).set(RAN, mayBeInProgress ? OUT : mayHaveRun ? MAYBE : NEVER);
        if (!enteredDatacenters.isEmpty()) {
            h.set(DATACENTERS, String.join(",", enteredDatacenters));
        }
        return retryAfterMs > 0 ? h.set(RETRY_AFTER, number(retryAfterMs)) : h;
    }

    /** Decodes the response to a call, whose body has arrived completely. */
    static Reply reply(Http2Headers h, Content content) {
        return switch (String.valueOf(h.status())) {
            case "200" -> new Reply(ForwardOutcome.SERVED, new Content(content.bytes(), decode(h, CONTENT_TYPE)), 0,
                    Set.of(), decode(h, RECORDED), false);
            case "404" -> new Reply(ForwardOutcome.SERVED, Content.ABSENT, 0, Set.of());
            default -> {
                // Only an explicit field proves that nothing ran.
                boolean neverRan = NEVER.equals(text(h, RAN));
                boolean mayHaveRun = MAYBE.equals(text(h, RAN));
                double retryAfterMs = h.contains(RETRY_AFTER) ? number(h, RETRY_AFTER) : 0;
                try {
                    yield new Reply(neverRan ? ForwardOutcome.REFUSED : mayHaveRun ? ForwardOutcome.FAILED
                                    : ForwardOutcome.LOST, null, Double.isNaN(retryAfterMs) ? 0 : retryAfterMs,
                            Set.copyOf(datacenters(h, DATACENTERS)), null, neverRan && h.contains(CONFLICT));
                } catch (WireException e) {
                    yield Reply.of(ForwardOutcome.LOST);
                }
            }
        };
    }

    /** Encodes the state of this gateway. */
    static Http2Headers gatewayState(GatewayState state) {
        return status(200).set(LEVEL, String.valueOf(state.level())).set(ACCEPTING, state.accepting() ? "1" : "0")
                .set(LEAVING, state.leaving() ? "1" : "0");
    }

    /** Decodes the state of a gateway; missing or invalid fields give 0 or false. */
    static GatewayState gatewayState(Http2Headers h) {
        double level = h.contains(LEVEL) ? number(h, LEVEL) : 0;
        return new GatewayState(Double.isNaN(level) ? 0 : (int) level, "1".equals(text(h, ACCEPTING)),
                "1".equals(text(h, LEAVING)));
    }

    /** Encodes a query for where an idempotency key may have run within a deduplication window. */
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
        double windowMs = number(h, WINDOW);
        if (!(windowMs > 0 && windowMs <= MAX_TIME_MS)) {
            throw new WireException("no window");
        }
        return windowMs;
    }

    /** Encodes the status of an idempotency key. */
    static Http2Headers keyStatus(KeyStatus keyStatus) {
        Http2Headers h = status(200);
        return keyStatus instanceof MayHaveRun run ? h.set(RAN, run.datacenter()).set(AGE, number(run.ageMs()))
                : h.set(RAN, keyStatus instanceof NotSeen ? NEVER : UNKNOWN);
    }

    /** Decodes the status of an idempotency key; indeterminate if the response is invalid. */
    static KeyStatus keyStatus(Http2Headers h) {
        String ran = text(h, RAN);
        double ageMs = h.contains(AGE) ? number(h, AGE) : Double.NaN;
        if (ran == null || !"200".equals(String.valueOf(h.status())) || ran.equals(UNKNOWN)) {
            return new Indeterminate();
        }
        return ran.equals(NEVER) ? new NotSeen() : Double.isNaN(ageMs) ? new Indeterminate()
                : new MayHaveRun(ran, ageMs);
    }

    /** Returns a field as text; null if it is missing or too long. */
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

    /**
     * Encodes texts chosen by clients, as they may contain characters that fields may not (RFC 9113, section 8.2.1).
     */
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
