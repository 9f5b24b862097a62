package ridgemill.cdn.proxy.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Encodes HTTP/1.1 messages. */
public final class MessageWriter {

    /** Bodies up to this size are copied into the buffer of the head, so that one write sends both, in bytes. */
    public static final int MAX_COPIED_BODY_BYTES = 16 * 1_024;

    private static final int INITIAL_HEAD_BYTES = 1_024;

    private static final int CHUNK_SIZE_LINE_BYTES = 16;
    private static final byte[] LINE_END = {'\r', '\n'};
    private static final byte[] LAST_CHUNK = {'0', '\r', '\n', '\r', '\n'};

    private MessageWriter() {}

    /** Encodes a request. {@code headers} do not include Content-Length, which is added if needed. */
    public static ByteBuf request(
            ByteBufAllocator allocator, String method, String target, Headers headers, byte[] body) {
        ByteBuf out = allocator.buffer(INITIAL_HEAD_BYTES + Math.min(MAX_COPIED_BODY_BYTES, body.length));
        requestLines(out, method, target, headers);
        boolean hasLength = body.length > 0 || !method.equals("GET") && !method.equals("HEAD");
        return end(out, hasLength ? body.length : -1, body);
    }

    /**
     * Encodes the head of a request whose body follows in pieces.
     *
     * @param length the length of the body in bytes; negative for a body in chunks
     */
    public static ByteBuf requestHead(
            ByteBufAllocator allocator, String method, String target, Headers headers, long length) {
        ByteBuf out = allocator.buffer(INITIAL_HEAD_BYTES);
        requestLines(out, method, target, headers);
        text(out, length < 0 ? "Transfer-Encoding: chunked\r\n" : "Content-Length: " + length + "\r\n");
        text(out, "\r\n");
        return out;
    }

    /** Frames a piece of a body in chunks, which is not empty; takes over the piece. */
    public static ByteBuf chunk(ByteBufAllocator allocator, ByteBuf piece) {
        ByteBuf size = allocator.buffer(CHUNK_SIZE_LINE_BYTES);
        text(size, Integer.toHexString(piece.readableBytes()));
        text(size, "\r\n");
        return Unpooled.wrappedBuffer(size, piece, Unpooled.wrappedBuffer(LINE_END));
    }

    /** The end of a body in chunks. */
    public static ByteBuf lastChunk() {
        return Unpooled.wrappedBuffer(LAST_CHUNK);
    }

    /**
     * Encodes a response.
     *
     * @param headers alternating names and values, without Content-Length
     * @param extraLines further header lines, each with its CR LF
     * @param length the value of Content-Length; negative for none
     */
    public static ByteBuf response(
            ByteBufAllocator allocator, int status, List<String> headers, String extraLines, long length, byte[] body) {
        ByteBuf out = allocator.buffer(INITIAL_HEAD_BYTES + Math.min(MAX_COPIED_BODY_BYTES, body.length));
        text(out, "HTTP/1.1 ");
        text(out, Integer.toString(status));
        out.writeByte(' ');
        text(out, reasonPhrase(status));
        text(out, "\r\n");
        lines(out, headers);
        text(out, extraLines);
        return end(out, length, body);
    }

    private static void requestLines(ByteBuf out, String method, String target, Headers headers) {
        text(out, method);
        out.writeByte(' ');
        text(out, target);
        text(out, " HTTP/1.1\r\n");
        lines(out, headers.lines());
    }

    private static ByteBuf end(ByteBuf out, long length, byte[] body) {
        if (length >= 0) {
            text(out, "Content-Length: ");
            text(out, Long.toString(length));
            text(out, "\r\n");
        }
        text(out, "\r\n");
        if (body.length <= MAX_COPIED_BODY_BYTES) {
            return out.writeBytes(body);
        }
        return Unpooled.wrappedBuffer(out, Unpooled.wrappedBuffer(body));
    }

    private static void lines(ByteBuf out, List<String> headers) {
        for (int i = 0; i < headers.size(); i += 2) {
            text(out, headers.get(i));
            text(out, ": ");
            text(out, headers.get(i + 1));
            text(out, "\r\n");
        }
    }

    private static void text(ByteBuf out, String text) {
        if (isAscii(text)) {
            ByteBufUtil.writeAscii(out, text);
        } else {
            out.writeBytes(text.getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    private static boolean isAscii(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) >= 128) {
                return false;
            }
        }
        return true;
    }

    private static String reasonPhrase(int status) {
        return switch (status) {
            case 200 -> "OK";
            case 206 -> "Partial Content";
            case 304 -> "Not Modified";
            case 400 -> "Bad Request";
            case 404 -> "Not Found";
            case 408 -> "Request Timeout";
            case 409 -> "Conflict";
            case 413 -> "Content Too Large";
            case 416 -> "Range Not Satisfiable";
            case 431 -> "Request Header Fields Too Large";
            case 500 -> "Internal Server Error";
            case 502 -> "Bad Gateway";
            case 503 -> "Service Unavailable";
            case 504 -> "Gateway Timeout";
            default -> "Status";
        };
    }
}
