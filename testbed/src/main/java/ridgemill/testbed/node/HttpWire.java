package ridgemill.testbed.node;

import io.netty.channel.ChannelHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;

/** HTTP/1.1 with the fleet's headers. */
final class HttpWire implements Wire {

    private static final int MAX_BODY = 1 << 20;

    @Override
    public List<ChannelHandler> decoders() {
        return List.of(new HttpRequestDecoder(), new HttpObjectAggregator(MAX_BODY));
    }

    @Override
    public Asked read(Object message, boolean up) {
        FullHttpRequest request = (FullHttpRequest) message;
        HttpHeaders headers = request.headers();
        String path = request.uri();
        int query = path.indexOf('?');
        String bare = query < 0 ? path : path.substring(0, query);
        String reply = bare.equals("/alive") ? answer(null, up ? 200 : 503, "") : null;
        return new Asked(
                headers.get("X-Call-Id", ""),
                bare.substring(bare.lastIndexOf('/') + 1),
                request.method().equals(HttpMethod.PUT),
                headers.get("Idempotency-Key"),
                budgetMs(headers.get("X-Budget")),
                reply,
                request.decoderResult().isFailure(),
                headers.get("X-Acted-Under"));
    }

    private static double budgetMs(String seconds) {
        try {
            return seconds == null ? 0 : 1000 * Double.parseDouble(seconds);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    @Override
    public String answer(Asked to, int status, String body, String... headers) {
        return message(status, body, body.length(), headers);
    }

    @Override
    public String shortAnswer(Asked to, int status, String body, String... headers) {
        return message(status, body + "more", Math.max(0, body.length() - 1), headers);
    }

    private static String message(int status, String body, int length, String... headers) {
        String more = headers.length == 0 ? "" : String.join("\r\n", headers) + "\r\n";
        return "HTTP/1.1 " + status + " x\r\nContent-Length: " + length + "\r\n" + more + "\r\n" + body;
    }

    @Override
    public String endless() {
        return "HTTP/1.1 200 OK\r\nX-Head: " + "x".repeat(500);
    }

    @Override
    public String drains() {
        return null;
    }
}
