package ridgemill.gateway.net.resp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.util.ByteProcessor;
import java.math.BigInteger;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Reads values from bytes as they come, in any pieces, without reading any byte twice or copying a blob: a blob is a share
 * of the buffer that it came in. Aggregates are kept on a stack of its own, so that no input can overflow the thread's;
 * what a value announces is held to the bounds before anything is kept for it.
 *
 * <p>Netty's own Redis codec knows the five types of version 2 alone and aggregates by nested lists; none of it is used.
 */
public final class RespParser {

    private static final int STREAMED = -2;
    private static final int NULL_LENGTH = -1;
    private static final int MOST_DIGITS = 19;

    private enum Kind { ARRAY, SET, MAP, ATTRIBUTE, PUSH, STREAM }

    /** An aggregate that has not ended. */
    private static final class Open {
        final Kind kind;
        /** Elements that are still to come; negative where its end says so. */
        long left;
        final List<Resp> items = new ArrayList<>();
        /** What came before the next element and belongs to it. */
        Resp.MapOf attributes;

        Open(Kind kind, long left) {
            this.kind = kind;
            this.left = left;
        }
    }

    private final RespLimits limits;
    private final boolean commands;
    private final Deque<Open> open = new ArrayDeque<>();
    private Resp.MapOf attributes;
    private byte blobType;
    private int blobLength = -1;
    /** Bytes of an unfinished line that hold no end. */
    private int scanned;
    private int lineEnd;
    private int elements;
    private int taken;
    private int streamed;

    private RespParser(RespLimits limits, boolean commands) {
        this.limits = limits;
        this.commands = commands;
    }

    /** Reads values of any type. */
    public static RespParser values(RespLimits limits) {
        return new RespParser(limits, false);
    }

    /** Reads commands of clients: arrays of blobs, and inline commands, which come out as the same. */
    public static RespParser commands(RespLimits limits) {
        return new RespParser(limits, true);
    }

    /** Whether it is within a value. */
    public boolean isWithin() {
        return blobLength >= 0 || !open.isEmpty() || attributes != null || scanned > 0;
    }

    /** The next whole value; null where more bytes are needed. Throws {@link RespException}; nothing can be read then. */
    public Resp next(ByteBuf in) {
        while (true) {
            Resp value = blobLength >= 0 ? blob(in) : line(in);
            if (value == null) {
                if (blobLength < 0 || in.readableBytes() < blobLength + 2) {
                    return null;
                }
                continue;
            }
            Resp whole = value == NOTHING ? null : complete(value);
            if (whole != null || !isWithin()) {
                elements = 0;
                taken = 0;
            }
            if (whole != null) {
                return whole;
            }
        }
    }

    /** Gives back what an unfinished value holds. */
    public void release() {
        open.forEach(o -> {
            o.items.forEach(Resp::release);
            if (o.attributes != null) {
                o.attributes.release();
            }
        });
        open.clear();
        if (attributes != null) {
            attributes.release();
            attributes = null;
        }
    }

    /** A line that completes nothing by itself: the head of an aggregate or of a blob. */
    private static final Resp NOTHING = new Resp.Simple("");

    private Resp line(ByteBuf in) {
        int length = lineLength(in);
        if (length < 0) {
            return null;
        }
        int start = in.readerIndex();
        in.skipBytes(length + lineEnd);
        take(length + lineEnd);
        if (commands && open.isEmpty() && (length == 0 || in.getByte(start) != '*')) {
            return Inline.command(in.toString(start, length, StandardCharsets.UTF_8));
        }
        if (length == 0) {
            throw new RespException("an empty line is no value");
        }
        byte type = in.getByte(start);
        if (commands && !open.isEmpty() && type != '$') {
            throw new RespException("expected '$', got '" + printable(type) + "'");
        }
        if (type != ';' && !open.isEmpty() && open.peek().kind == Kind.STREAM) {
            throw new RespException("a streamed string holds chunks alone");
        }
        return value(in, type, start + 1, length - 1);
    }

    private int lineLength(ByteBuf in) {
        int from = in.readerIndex();
        int room = Math.min(in.readableBytes(), limits.line() + 2);
        int at = in.forEachByte(from + scanned, room - scanned, ByteProcessor.FIND_LF);
        if (at < 0) {
            scanned = room;
            if (room == limits.line() + 2) {
                throw new RespException("a line is over " + limits.line() + " bytes");
            }
            return -1;
        }
        scanned = 0;
        boolean crlf = at > from && in.getByte(at - 1) == '\r';
        if (!crlf && commands && open.isEmpty() && in.getByte(from) != '*') {
            // Inline commands typed by hand may end in a bare line feed.
            lineEnd = 1;
            return at - from;
        }
        lineEnd = 2;
        int length = at - from - 1;
        if (!crlf || in.forEachByte(from, length, ByteProcessor.FIND_CR) >= 0) {
            throw new RespException("a line must end in CRLF and hold no CR");
        }
        return length;
    }

    private Resp value(ByteBuf in, byte type, int at, int length) {
        switch (type) {
            case '+':
                return new Resp.Simple(in.toString(at, length, StandardCharsets.UTF_8));
            case '-':
                return new Resp.Err(in.toString(at, length, StandardCharsets.UTF_8));
            case ':':
                return new Resp.Num(number(in, at, length));
            case '_':
                if (length != 0) {
                    throw new RespException("a null holds nothing");
                }
                return Resp.NULL;
            case '#':
                if (length != 1 || in.getByte(at) != 't' && in.getByte(at) != 'f') {
                    throw new RespException("a boolean is t or f");
                }
                return new Resp.Bool(in.getByte(at) == 't');
            case ',':
                return new Resp.Dbl(decimal(in.toString(at, length, StandardCharsets.US_ASCII)));
            case '(':
                return new Resp.Big(big(in.toString(at, length, StandardCharsets.US_ASCII)));
            case '$', '!', '=':
                return blobHead(in, type, at, length);
            case ';':
                return chunkHead(in, at, length);
            case '*':
                return head(Kind.ARRAY, length(in, at, length, true, true), 1);
            case '~':
                return head(Kind.SET, length(in, at, length, false, true), 1);
            case '%':
                return head(Kind.MAP, length(in, at, length, false, true), 2);
            case '|':
                return head(Kind.ATTRIBUTE, length(in, at, length, false, false), 2);
            case '>':
                if (!open.isEmpty() || attributes != null) {
                    throw new RespException("a push within another value");
                }
                return head(Kind.PUSH, length(in, at, length, false, false), 1);
            case '.':
                return end(length);
            default:
                throw new RespException("no type begins with '" + printable(type) + "'");
        }
    }

    private Resp blobHead(ByteBuf in, byte type, int at, int length) {
        int bytes = length(in, at, length, type == '$', type == '$');
        if (bytes == NULL_LENGTH) {
            if (commands) {
                throw new RespException("a command's argument is never null");
            }
            return Resp.NULL;
        }
        if (bytes == STREAMED) {
            if (commands) {
                throw new RespException("a command's argument is never streamed");
            }
            deeper();
            open.push(new Open(Kind.STREAM, STREAMED));
            streamed = 0;
            return NOTHING;
        }
        if (bytes > limits.blob()) {
            throw new RespException("a blob of " + bytes + " bytes is over " + limits.blob());
        }
        take(bytes + 2);
        blobType = type;
        blobLength = bytes;
        return NOTHING;
    }

    private Resp chunkHead(ByteBuf in, int at, int length) {
        if (open.isEmpty() || open.peek().kind != Kind.STREAM) {
            throw new RespException("a chunk outside of a streamed string");
        }
        int bytes = length(in, at, length, false, false);
        if (bytes == 0) {
            List<Resp> chunks = open.pop().items;
            if (chunks.isEmpty()) {
                return new Resp.Blob(Unpooled.EMPTY_BUFFER);
            }
            CompositeByteBuf all = Unpooled.compositeBuffer(Math.max(2, chunks.size()));
            chunks.forEach(c -> all.addComponent(true, ((Resp.Blob) c).bytes()));
            return new Resp.Blob(all);
        }
        if (bytes > limits.blob() - streamed) {
            throw new RespException("a streamed string is over " + limits.blob() + " bytes");
        }
        streamed += bytes;
        count(1);
        take(bytes + 2);
        blobType = ';';
        blobLength = bytes;
        return NOTHING;
    }

    private Resp blob(ByteBuf in) {
        if (in.readableBytes() < blobLength + 2) {
            return null;
        }
        int end = in.readerIndex() + blobLength;
        if (in.getByte(end) != '\r' || in.getByte(end + 1) != '\n') {
            throw new RespException("a blob must end in CRLF");
        }
        int length = blobLength;
        blobLength = -1;
        Resp value;
        switch (blobType) {
            case '!' -> {
                value = new Resp.Err(in.toString(in.readerIndex(), length, StandardCharsets.UTF_8));
                in.skipBytes(length);
            }
            case '=' -> {
                if (length < 4 || in.getByte(in.readerIndex() + 3) != ':') {
                    throw new RespException("a verbatim string begins with three letters and a colon");
                }
                String format = in.readCharSequence(3, StandardCharsets.US_ASCII).toString();
                in.skipBytes(1);
                value = new Resp.Verbatim(format, in.readRetainedSlice(length - 4));
            }
            default -> value = new Resp.Blob(in.readRetainedSlice(length));
        }
        in.skipBytes(2);
        if (blobType == ';') {
            open.peek().items.add(value);
            return NOTHING;
        }
        return value;
    }

    private Resp head(Kind kind, int length, int each) {
        if (length == NULL_LENGTH) {
            return commands ? NOTHING : Resp.NULL;
        }
        if (commands && (length == STREAMED || !open.isEmpty())) {
            throw new RespException("a command is one array of blobs");
        }
        if (length > 0) {
            if (length > limits.elements() / each) {
                throw new RespException("an aggregate of " + length + " is over " + limits.elements() / each);
            }
            count(length * each);
        }
        if (length == 0 && kind == Kind.ATTRIBUTE) {
            attach(new Resp.MapOf(new ArrayList<>()));
            return NOTHING;
        }
        if (length == 0) {
            return commands ? NOTHING : aggregate(kind, new ArrayList<>());
        }
        deeper();
        open.push(new Open(kind, length == STREAMED ? STREAMED : (long) length * each));
        return NOTHING;
    }

    private Resp end(int length) {
        Open last = open.peek();
        if (length != 0 || last == null || last.left != STREAMED || last.kind == Kind.STREAM) {
            throw new RespException("an end of no streamed aggregate");
        }
        if (last.attributes != null || last.kind == Kind.MAP && last.items.size() % 2 != 0) {
            throw new RespException("a streamed aggregate ends within an element");
        }
        open.pop();
        return aggregate(last.kind, last.items);
    }

    /** Puts a value where it belongs; the whole one if it ends that. */
    private Resp complete(Resp value) {
        Resp done = value;
        while (true) {
            Open in = open.peek();
            if (in == null) {
                if (attributes != null) {
                    done = new Resp.Attributed(attributes, done);
                    attributes = null;
                }
                return done;
            }
            if (in.attributes != null) {
                done = new Resp.Attributed(in.attributes, done);
                in.attributes = null;
            }
            in.items.add(done);
            if (in.left == STREAMED) {
                count(1);
                return null;
            }
            if (--in.left > 0) {
                return null;
            }
            open.pop();
            if (in.kind == Kind.ATTRIBUTE) {
                attach(new Resp.MapOf(in.items));
                return null;
            }
            done = aggregate(in.kind, in.items);
        }
    }

    private void attach(Resp.MapOf map) {
        Open around = open.peek();
        Resp.MapOf there = around == null ? attributes : around.attributes;
        if (there != null) {
            map.release();
            throw new RespException("attributes of attributes");
        }
        if (around == null) {
            attributes = map;
        } else {
            around.attributes = map;
        }
    }

    private static Resp aggregate(Kind kind, List<Resp> items) {
        return switch (kind) {
            case SET -> new Resp.SetOf(items);
            case MAP, ATTRIBUTE -> new Resp.MapOf(items);
            case PUSH -> new Resp.Push(items);
            default -> new Resp.Array(items);
        };
    }

    private void deeper() {
        if (open.size() >= limits.depth()) {
            throw new RespException("aggregates are nested over " + limits.depth() + " deep");
        }
    }

    private void count(int more) {
        elements += more;
        if (elements > limits.elements()) {
            throw new RespException("a value of over " + limits.elements() + " elements");
        }
    }

    private void take(int bytes) {
        taken += bytes;
        if (taken > limits.bytes()) {
            throw new RespException("a value of over " + limits.bytes() + " bytes");
        }
    }

    private static int length(ByteBuf in, int at, int length, boolean mayBeNull, boolean mayStream) {
        if (mayStream && length == 1 && in.getByte(at) == '?') {
            return STREAMED;
        }
        long n = number(in, at, length);
        if (n == -1 && mayBeNull) {
            return NULL_LENGTH;
        }
        if (n < 0 || n > Integer.MAX_VALUE - 2) {
            throw new RespException("no length: " + n);
        }
        return (int) n;
    }

    private static long number(ByteBuf in, int at, int length) {
        boolean negative = length > 0 && in.getByte(at) == '-';
        int digits = negative ? length - 1 : length;
        if (digits < 1 || digits > MOST_DIGITS) {
            throw new RespException("no number of 64 bits");
        }
        long n = 0;
        for (int i = at + length - digits; i < at + length; i++) {
            int digit = in.getByte(i) - '0';
            if (digit < 0 || digit > 9 || n < (Long.MIN_VALUE + digit) / 10) {
                throw new RespException("no number of 64 bits");
            }
            // Downwards, as there is one more below zero than above.
            n = n * 10 - digit;
        }
        if (!negative && n == Long.MIN_VALUE) {
            throw new RespException("no number of 64 bits");
        }
        return negative ? n : -n;
    }

    private static double decimal(String text) {
        switch (text) {
            case "inf":
                return Double.POSITIVE_INFINITY;
            case "-inf":
                return Double.NEGATIVE_INFINITY;
            case "nan", "-nan":
                return Double.NaN;
            default:
                if (!text.matches("[+-]?([0-9]+(\\.[0-9]*)?|\\.[0-9]+)([eE][+-]?[0-9]+)?")) {
                    throw new RespException("no double: " + cut(text));
                }
                return Double.parseDouble(text);
        }
    }

    private static BigInteger big(String text) {
        if (!text.matches("[+-]?[0-9]+")) {
            throw new RespException("no big number: " + cut(text));
        }
        return new BigInteger(text);
    }

    private static String cut(String text) {
        return text.length() <= 32 ? text : text.substring(0, 32);
    }

    private static String printable(byte b) {
        return b >= ' ' && b <= '~' ? String.valueOf((char) b) : "\\x%02x".formatted(b);
    }

    /** Commands as people type them: words with blanks between, quotes for those that hold some. */
    private static final class Inline {

        private Inline() { }

        static Resp command(String line) {
            List<Resp> words = new ArrayList<>();
            StringBuilder word = null;
            char quote = 0;
            for (int i = 0; i < line.length(); i++) {
                char c = line.charAt(i);
                if (quote != 0) {
                    if (c == '\\' && quote == '"' && i + 1 < line.length()) {
                        char next = line.charAt(++i);
                        word.append(next == 'n' ? '\n' : next == 'r' ? '\r' : next == 't' ? '\t' : next);
                    } else if (c != quote) {
                        word.append(c);
                    } else if (i + 1 < line.length() && !blank(line.charAt(i + 1))) {
                        throw unbalanced();
                    } else {
                        quote = 0;
                    }
                } else if (blank(c)) {
                    if (word != null) {
                        words.add(Resp.blob(word.toString()));
                        word = null;
                    }
                } else if ((c == '"' || c == '\'') && word == null) {
                    quote = c;
                    word = new StringBuilder();
                } else {
                    word = word == null ? new StringBuilder() : word;
                    word.append(c);
                }
            }
            if (quote != 0) {
                throw unbalanced();
            }
            if (word != null) {
                words.add(Resp.blob(word.toString()));
            }
            return words.isEmpty() ? NOTHING : new Resp.Array(words);
        }

        private static boolean blank(char c) {
            return c == ' ' || c == '\t';
        }

        private static RespException unbalanced() {
            return new RespException("unbalanced quotes in request");
        }
    }
}
