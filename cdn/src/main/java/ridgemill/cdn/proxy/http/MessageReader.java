package ridgemill.cdn.proxy.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Reads one HTTP/1.1 message at a time from the bytes of a connection. Rejects all framing that two parsers could
 * interpret differently, which prevents request smuggling.
 *
 * <p>A body is gathered up to a limit. A larger one is passed to a sink in pieces; reading stops until there is one.
 */
public abstract class MessageReader {

    private static final byte[] EMPTY = {};
    private static final int MAX_CHUNK_LINE_BYTES = 1_024;
    private static final int MAX_CHUNK_SIZE_DIGITS = 8;
    /** Maximum initial buffer size of a body, whatever its Content-Length, in bytes. */
    private static final int INITIAL_BODY_BYTES = 256 * 1_024;

    /** The least memory for a body in chunks, in bytes. */
    private static final long MIN_GRANT_BYTES = 16 * 1_024;

    private enum State {
        HEAD,
        FIXED,
        CHUNK_HEADER,
        CHUNK,
        CHUNK_END,
        TRAILER,
        COMPLETE
    }

    private State state = State.HEAD;
    private int scanned;
    private int trailerBytes;
    private byte[] body = EMPTY;
    private int filled;
    private long received;
    private long remaining;
    private long memoryNeeded;
    private boolean large;
    private BodySink sink;
    private Headers headers;

    /** Parses the start line. */
    abstract void startLine(String line) throws BadMessageException;

    /** Whether the message has no body, whatever its headers state. */
    abstract boolean isBodiless();

    /** Whether a message without Content-Length and Transfer-Encoding has no body; otherwise it is rejected. */
    abstract boolean isEmptyWithoutLength();

    /** Maximum size of the start line and the headers, in bytes. */
    abstract int maxHeadBytes();

    /** Maximum size of a body, in bytes. */
    abstract long maxBodyBytes();

    /** Whether memory for a gathered body must be granted before the body is read. */
    abstract boolean needsGrants();

    /** Maximum size of a body that is gathered, in bytes. */
    abstract long maxGatheredBytes();

    /**
     * Reads more of the message; bytes that belong to it are consumed from the buffer.
     *
     * @return whether the message is complete
     * @throws BadMessageException if the message is malformed or exceeds a limit; the connection cannot be used any
     *     more
     */
    public final boolean read(ByteBuf in) throws BadMessageException {
        passOnGathered();
        while (state != State.COMPLETE && !needsSink() && memoryNeeded == 0) {
            boolean more = switch (state) {
                case HEAD -> readHead(in);
                case FIXED -> readBody(in, State.COMPLETE);
                case CHUNK_HEADER -> readChunkHeader(in);
                case CHUNK -> readBody(in, State.CHUNK_END);
                case CHUNK_END -> readChunkEnd(in);
                case TRAILER -> readTrailer(in);
                case COMPLETE -> false;
            };
            if (!more) {
                return state == State.COMPLETE;
            }
        }
        return state == State.COMPLETE;
    }

    /** Whether the body is too large to be gathered and there is no sink for it yet. */
    public final boolean needsSink() {
        return large && sink == null;
    }

    /** The size of the memory that must be granted before more of the body is read, in bytes; 0 for none. */
    public final long memoryNeeded() {
        return memoryNeeded;
    }

    /** Grants the memory that is needed, in place of what was granted before. */
    public final void grantMemory() {
        body = Arrays.copyOf(body, (int) memoryNeeded);
        memoryNeeded = 0;
    }

    /** The size of the further memory that {@link #body} takes, in bytes. */
    public final int bodyCopyBytes() {
        return body.length == filled ? 0 : filled;
    }

    /** Passes the body to a sink with the next reads, beginning with the part that has been gathered. */
    public final void streamTo(BodySink newSink) {
        sink = newSink;
    }

    private void passOnGathered() {
        if (sink != null && filled > 0) {
            ByteBuf gathered = Unpooled.wrappedBuffer(body, 0, filled);
            body = EMPTY;
            filled = 0;
            sink.bodyPiece(gathered);
        }
    }

    /** The length that the head states, in bytes; negative for a body in chunks. */
    public final long statedLength() throws BadMessageException {
        if (headers.count("Transfer-Encoding") > 0) {
            return -1;
        }
        String text = headers.get("Content-Length");
        return text == null ? 0 : HeaderLine.parseContentLength(text);
    }

    /** Whether the head has been read. */
    public final boolean hasHead() {
        return state != State.HEAD;
    }

    /** The headers, once the head has been read. */
    public final Headers headers() {
        return headers;
    }

    /** The body, once the message is complete. */
    public final byte[] body() {
        return body.length == filled ? body : Arrays.copyOf(body, filled);
    }

    /** Prepares for the next message. */
    public void reset() {
        state = State.HEAD;
        scanned = 0;
        trailerBytes = 0;
        body = EMPTY;
        filled = 0;
        received = 0;
        remaining = 0;
        memoryNeeded = 0;
        large = false;
        sink = null;
        headers = null;
    }

    private boolean readHead(ByteBuf in) throws BadMessageException {
        int end = endOfHead(in);
        if (end < 0) {
            return false;
        }
        byte[] bytes = new byte[end];
        in.readBytes(bytes);
        scanned = 0;
        int lineEnd = endOfLine(bytes, 0);
        startLine(new String(bytes, 0, lineEnd, StandardCharsets.ISO_8859_1));
        headers = new Headers();
        for (int start = lineEnd + 2; bytes[start] != '\r'; start = lineEnd + 2) {
            lineEnd = endOfLine(bytes, start);
            HeaderLine.parse(bytes, start, lineEnd, headers);
        }
        startBody();
        return true;
    }

    /**
     * Returns the number of bytes up to and including the empty line, or a negative number if it has not arrived.
     * Lines must end with CR LF.
     */
    private int endOfHead(ByteBuf in) throws BadMessageException {
        int start = in.readerIndex();
        int readable = in.readableBytes();
        for (; scanned < readable; scanned++) {
            if (scanned >= maxHeadBytes()) {
                throw new BadMessageException(431, "the head is too long");
            }
            byte b = in.getByte(start + scanned);
            if (b == '\n') {
                if (scanned == 0 || in.getByte(start + scanned - 1) != '\r') {
                    throw new BadMessageException(400, "LF without CR");
                }
                if (scanned >= 3 && in.getByte(start + scanned - 2) == '\n') {
                    return scanned + 1;
                }
            } else if (scanned > 0 && in.getByte(start + scanned - 1) == '\r') {
                throw new BadMessageException(400, "CR without LF");
            }
        }
        return -1;
    }

    private static int endOfLine(byte[] bytes, int start) {
        int at = start;
        while (bytes[at] != '\r') {
            at++;
        }
        return at;
    }

    private void startBody() throws BadMessageException {
        int codings = headers.count("Transfer-Encoding");
        int lengths = headers.count("Content-Length");
        if (codings > 0) {
            if (lengths > 0 || codings > 1 || !"chunked".equalsIgnoreCase(headers.get("Transfer-Encoding"))) {
                throw new BadMessageException(400, "unsupported or conflicting Transfer-Encoding");
            }
            state = isBodiless() ? State.COMPLETE : State.CHUNK_HEADER;
        } else if (lengths > 1) {
            throw new BadMessageException(400, "more than one Content-Length");
        } else if (lengths == 1) {
            startFixedBody(HeaderLine.parseContentLength(headers.get("Content-Length")));
        } else if (isBodiless() || isEmptyWithoutLength()) {
            state = State.COMPLETE;
        } else {
            throw new BadMessageException(400, "neither Content-Length nor chunked coding");
        }
    }

    private void startFixedBody(long length) throws BadMessageException {
        if (isBodiless()) {
            state = State.COMPLETE;
            return;
        }
        if (length > maxBodyBytes()) {
            throw new BadMessageException(413, "body exceeds the size limit");
        }
        remaining = length;
        large = length > maxGatheredBytes();
        memoryNeeded = needsGrants() ? length : 0;
        body = length == 0 || large || needsGrants() ? EMPTY : new byte[(int) Math.min(length, INITIAL_BODY_BYTES)];
        state = length == 0 ? State.COMPLETE : State.FIXED;
    }

    private boolean readBody(ByteBuf in, State next) {
        int take = (int) Math.min(remaining, in.readableBytes());
        if (take == 0) {
            return false;
        }
        received += take;
        remaining -= take;
        if (sink != null) {
            sink.bodyPiece(in.readRetainedSlice(take));
        } else {
            gather(in, take);
        }
        if (remaining == 0) {
            state = next;
        }
        return remaining == 0;
    }

    private void gather(ByteBuf in, int take) {
        if (filled + take > body.length) {
            long wanted = Math.max(filled + take, Math.min(2L * body.length, filled + take + remaining));
            body = Arrays.copyOf(body, (int) wanted);
        }
        in.readBytes(body, filled, take);
        filled += take;
    }

    private boolean readChunkHeader(ByteBuf in) throws BadMessageException {
        String line = readLine(in, MAX_CHUNK_LINE_BYTES);
        if (line == null) {
            return false;
        }
        int digits = 0;
        while (digits < line.length() && Character.digit(line.charAt(digits), 16) >= 0 && line.charAt(digits) < 128) {
            digits++;
        }
        if (digits == 0 || digits > MAX_CHUNK_SIZE_DIGITS || digits < line.length() && line.charAt(digits) != ';') {
            throw new BadMessageException(400, "malformed chunk size");
        }
        remaining = Long.parseLong(line.substring(0, digits), 16);
        if (received + remaining > maxBodyBytes()) {
            throw new BadMessageException(413, "body exceeds the size limit");
        }
        large |= received + remaining > maxGatheredBytes();
        if (needsGrants() && received + remaining > body.length) {
            long grown = Math.min(maxBodyBytes(), Math.max(MIN_GRANT_BYTES, 2L * body.length));
            memoryNeeded = Math.max(received + remaining, grown);
        }
        state = remaining == 0 ? State.TRAILER : State.CHUNK;
        return true;
    }

    private boolean readChunkEnd(ByteBuf in) throws BadMessageException {
        if (in.readableBytes() < 2) {
            return false;
        }
        if (in.readByte() != '\r' || in.readByte() != '\n') {
            throw new BadMessageException(400, "chunk data exceeds the chunk size");
        }
        state = State.CHUNK_HEADER;
        return true;
    }

    /** Reads and discards the trailer section after the last chunk. */
    private boolean readTrailer(ByteBuf in) throws BadMessageException {
        String line = readLine(in, maxHeadBytes());
        if (line == null) {
            return false;
        }
        trailerBytes += line.length() + 2;
        if (trailerBytes > maxHeadBytes()) {
            throw new BadMessageException(431, "trailer section exceeds the size limit");
        }
        if (line.isEmpty()) {
            state = State.COMPLETE;
        } else {
            byte[] bytes = line.getBytes(StandardCharsets.ISO_8859_1);
            HeaderLine.parse(bytes, 0, bytes.length, new Headers());
        }
        return true;
    }

    private static String readLine(ByteBuf in, int maxBytes) throws BadMessageException {
        int start = in.readerIndex();
        int lineFeed = in.indexOf(start, in.writerIndex(), (byte) '\n');
        if (lineFeed < 0) {
            if (in.readableBytes() > maxBytes) {
                throw new BadMessageException(400, "line exceeds the size limit");
            }
            return null;
        }
        if (lineFeed - start > maxBytes || lineFeed == start || in.getByte(lineFeed - 1) != '\r') {
            throw new BadMessageException(400, "line ends without CR or exceeds the size limit");
        }
        String line = in.toString(start, lineFeed - 1 - start, StandardCharsets.ISO_8859_1);
        if (line.indexOf('\r') >= 0) {
            throw new BadMessageException(400, "CR without LF");
        }
        in.readerIndex(lineFeed + 1);
        return line;
    }
}
