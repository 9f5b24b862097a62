package ridgemill.testbed.load;

import io.netty.channel.ChannelHandler;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import ridgemill.testbed.Protocol;
import ridgemill.testbed.ledger.ClientEntry;
import ridgemill.testbed.ledger.ClientEntry.Reply;
import ridgemill.testbed.ledger.LoadClass;
import ridgemill.testbed.resp.NaiveResp;
import ridgemill.testbed.resp.NaiveResp.Value;
import ridgemill.testbed.resp.RespValues;

/** How a client's protocol is written and read. */
sealed interface ClientWire {

    /** What a write records. */
    String BODY = "credit=100";

    /** The wire of a protocol. */
    static ClientWire of(Protocol protocol) {
        return protocol == Protocol.HTTP ? new Http() : new Resp();
    }

    /** What turns bytes into messages. */
    List<ChannelHandler> decoders();

    /** A request's bytes. */
    byte[] ask(ClientEntry entry, String tenant, boolean again);

    /** What an answer says. */
    Reply reply(Object message, double now);

    /** Whether the connection may be used after this answer. */
    boolean keeps(Object message);

    /** HTTP/1.1 with the fleet's headers. */
    final class Http implements ClientWire {

        private static final int MAX_BODY = 1 << 20;

        @Override
        public List<ChannelHandler> decoders() {
            return List.of(new HttpResponseDecoder(), new HttpObjectAggregator(MAX_BODY));
        }

        @Override
        public byte[] ask(ClientEntry entry, String tenant, boolean again) {
            LoadClass c = entry.service();
            StringBuilder text = new StringBuilder(c.write() ? "PUT" : "GET")
                    .append(" /api/")
                    .append(entry.key())
                    .append(" HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: ")
                    .append(entry.id())
                    .append("\r\nX-Call-Class: ")
                    .append(c.name())
                    .append("\r\nX-Caller: ")
                    .append(tenant)
                    .append("\r\nX-Budget: ")
                    .append(String.format(Locale.ROOT, "%.3f", entry.budgetMs() / 1000));
            if (again) {
                text.append("\r\nX-Again: 1");
            }
            if (entry.idempotencyKey() != null) {
                text.append("\r\nIdempotency-Key: ").append(entry.idempotencyKey());
            }
            String body = c.write() ? BODY : "";
            if (c.write()) {
                text.append("\r\nContent-Length: ").append(body.length());
            }
            return text.append("\r\n\r\n").append(body).toString().getBytes(StandardCharsets.US_ASCII);
        }

        @Override
        public Reply reply(Object message, double now) {
            FullHttpResponse response = (FullHttpResponse) message;
            String wait = response.headers().get(HttpHeaderNames.RETRY_AFTER);
            return new Reply(
                    response.status().code(),
                    now,
                    response.content().toString(StandardCharsets.ISO_8859_1),
                    wait == null ? 0 : Double.parseDouble(wait) * 1000,
                    !response.decoderResult().isFailure());
        }

        @Override
        public boolean keeps(Object message) {
            FullHttpResponse response = (FullHttpResponse) message;
            return HttpUtil.isKeepAlive(response) && !response.decoderResult().isFailure();
        }
    }

    /** RESP with {@code RIDGE.WITH}; statuses are HTTP's for the same. */
    final class Resp implements ClientWire {

        private static final Pattern WAIT = Pattern.compile("come back after ([0-9.]+) s");

        @Override
        public List<ChannelHandler> decoders() {
            return List.of(new RespValues());
        }

        @Override
        public byte[] ask(ClientEntry entry, String tenant, boolean again) {
            LoadClass c = entry.service();
            List<String> words = new ArrayList<>(List.of(
                    "RIDGE.WITH",
                    "class",
                    c.name(),
                    "id",
                    entry.id(),
                    "deadline",
                    String.format(Locale.ROOT, "%.3fms", entry.budgetMs())));
            if (again) {
                words.addAll(List.of("again", "1"));
            }
            if (entry.idempotencyKey() != null) {
                words.addAll(List.of("idempotency-key", entry.idempotencyKey()));
            }
            words.addAll(c.write() ? List.of("DO", "SET", entry.key(), BODY) : List.of("DO", "GET", entry.key()));
            return NaiveResp.command(words).getBytes(StandardCharsets.US_ASCII);
        }

        @Override
        public Reply reply(Object message, double now) {
            Value value = (Value) message;
            String text = value.text();
            Matcher wait = WAIT.matcher(text);
            double waitMs = value.type() == '-' && wait.find() ? Double.parseDouble(wait.group(1)) * 1000 : 0;
            int status = switch (value.type()) {
                case '$', '+' -> 200;
                case '_' -> 404;
                case '-' ->
                    text.startsWith("TRYAGAIN a limit")
                            ? 429
                            : text.startsWith("TRYAGAIN") ? 503 : text.startsWith("FAILED") ? 502 : 400;
                default -> 500;
            };
            // A write is told by OK alone.
            return new Reply(status, now, value.type() == '+' ? null : text, waitMs, true);
        }

        @Override
        public boolean keeps(Object message) {
            return true;
        }
    }
}
