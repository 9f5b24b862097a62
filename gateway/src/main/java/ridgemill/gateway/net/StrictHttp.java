package ridgemill.gateway.net;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import java.util.List;

/** HTTP/1.1 decoders that fail on framing which Netty's own would mend: two readers could see two different messages. */
public final class StrictHttp {

    private static final int MAX_HEAD = 8192;
    /** Bytes of a body that are handed on at once: as many as one read brings. */
    private static final int MAX_PART = 64 * 1024;

    private StrictHttp() { }

    /** Reads requests. One with both lengths may hide another in its body, which a node would carry out. */
    public static final class Requests extends HttpRequestDecoder {
        public Requests() {
            super(config());
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw twoLengths();
        }

        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            return super.splitHeaderName(line, start, checked(line, start, length));
        }
    }

    /** Reads answers, and tells whether bytes have come that no answer has used. */
    public static final class Responses extends HttpResponseDecoder {
        public Responses() {
            super(config());
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw twoLengths();
        }

        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            return super.splitHeaderName(line, start, checked(line, start, length));
        }

        public boolean leftOver() {
            return actualReadableBytes() > 0;
        }
    }

    /** Whether a coding is named that Netty leaves alone, and with it the message's length open. */
    public static boolean oddCoding(HttpMessage message) {
        List<String> codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        return !codings.isEmpty()
                && (codings.size() > 1 || !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0).trim()));
    }

    private static HttpDecoderConfig config() {
        return new HttpDecoderConfig().setMaxHeaderSize(MAX_HEAD).setMaxChunkSize(MAX_PART);
    }

    /** The length of a header's name, which a colon must follow: Netty takes any line for one, and so spoilt heads. */
    private static int checked(byte[] line, int start, int length) {
        if (start + length >= line.length || line[start + length] != ':') {
            throw new IllegalArgumentException("a line of the head is no header");
        }
        return length;
    }

    private static IllegalArgumentException twoLengths() {
        return new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}
