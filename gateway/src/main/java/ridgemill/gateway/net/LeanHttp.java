package ridgemill.gateway.net;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/**
 * HTTP/1.1 messages (RFC 9112) as nearly all clients and nodes send them, read straight from their bytes: one whole message
 * in one read, a head of plain lines, a length or none. Whatever is not just that is declined, and left to Netty's decoders
 * under {@link StrictHttp}, which judge it; so nothing is accepted here that they would not read in the same way, and
 * nothing is refused here at all. {@code LeanHttpTest} holds the two against each other.
 */
public final class LeanHttp {

    /** Longer heads are declined. */
    private static final int MOST_HEAD = 2048;
    private static final int MOST_LINES = 32;
    private static final int OFFSETS = 4;
    /** More digits than any body that is carried has. */
    private static final int MOST_DIGITS = 6;
    private static final byte[] VERSION = "HTTP/1.1".getBytes(StandardCharsets.US_ASCII);

    /** For each byte: whether it may stand in a header's name; what else RFC 9110 lets a token hold is rare. */
    private static final boolean[] NAME = new boolean[128];

    static {
        for (char c = 0; c < NAME.length; c++) {
            NAME[c] = c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-';
        }
    }

    private final byte[] head;
    private final int[] lines;
    private int count;
    private int firstEnd;
    private int secondEnd;
    private int end;
    private int length = -1;
    private boolean keepAlive = true;

    private LeanHttp(byte[] head) {
        this.head = head;
        this.lines = new int[OFFSETS * MOST_LINES];
    }

    /** Reads a request that is all that {@code in} holds, and leaves {@code in} as it is; null where it is declined. */
    public static LeanHttp request(ByteBuf in) {
        LeanHttp m = copied(in);
        return m != null && m.requestLine() && m.headers() && m.isWhole(in) ? m : null;
    }

    /** Reads an answer that is all that {@code in} holds, and leaves {@code in} as it is; null where it is declined. */
    public static LeanHttp response(ByteBuf in) {
        LeanHttp m = copied(in);
        // An answer without a length ends with its connection, and only Netty's decoder sees that.
        return m != null && m.statusLine() && m.headers() && m.length >= 0 && m.isWhole(in) ? m : null;
    }

    private static LeanHttp copied(ByteBuf in) {
        byte[] head = new byte[Math.min(MOST_HEAD, in.readableBytes())];
        in.getBytes(in.readerIndex(), head);
        return new LeanHttp(head);
    }

    private boolean isWhole(ByteBuf in) {
        return end + Math.max(0, length) == in.readableBytes();
    }

    /** {@code GET} or {@code PUT}, a path, the version. */
    private boolean requestLine() {
        if (head.length < MOST_DIGITS || head[3] != ' ' || !(head[0] == 'G' && head[1] == 'E' && head[2] == 'T'
                || head[0] == 'P' && head[1] == 'U' && head[2] == 'T') || head[4] != '/') {
            return false;
        }
        int i = 4;
        while (i < head.length && head[i] > ' ' && head[i] < 0x7f) {
            i++;
        }
        firstEnd = 3;
        secondEnd = i;
        return i < head.length && head[i] == ' ' && version(i + 1) && line(i + 1 + VERSION.length);
    }

    /** The version, a code of three digits that is followed by a text, and the text. */
    private boolean statusLine() {
        int i = VERSION.length;
        if (!version(0) || i + 4 >= head.length || head[i] != ' ' || head[i + 4] != ' ') {
            return false;
        }
        for (int d = i + 1; d < i + 4; d++) {
            if (head[d] < '0' || head[d] > '9') {
                return false;
            }
        }
        // One that is informational, or has no body whatever it says, is rare.
        int code = status();
        int at = i + 5;
        while (at < head.length && head[at] >= ' ' && head[at] < 0x7f) {
            at++;
        }
        return code >= 200 && code <= 599 && code != 204 && code != 205 && code != 304 && line(at);
    }

    private boolean version(int at) {
        for (int k = 0; k < VERSION.length; k++) {
            if (at + k >= head.length || head[at + k] != VERSION[k]) {
                return false;
            }
        }
        return true;
    }

    /** Whether a line ends here, behind which the next begins. */
    private boolean line(int at) {
        if (at + 1 < head.length && head[at] == '\r' && head[at + 1] == '\n') {
            end = at + 2;
            return true;
        }
        return false;
    }

    private boolean headers() {
        while (!line(end)) {
            if (count == MOST_LINES || !header()) {
                return false;
            }
        }
        return true;
    }

    private boolean header() {
        int nameStart = end;
        int i = nameStart;
        while (i < head.length && head[i] >= 0 && NAME[head[i]]) {
            i++;
        }
        int nameEnd = i;
        if (nameEnd == nameStart || i >= head.length || head[i] != ':') {
            return false;
        }
        i++;
        if (i < head.length && head[i] == ' ') {
            i++;
        }
        int valueStart = i;
        while (i < head.length && head[i] >= ' ' && head[i] < 0x7f) {
            i++;
        }
        int valueEnd = i;
        // Space round a value is no part of it; where there is more than the usual one, Netty takes it off.
        if (valueEnd > valueStart && (head[valueStart] == ' ' || head[valueEnd - 1] == ' ') || !line(i)) {
            return false;
        }
        int at = OFFSETS * count++;
        lines[at] = nameStart;
        lines[at + 1] = nameEnd;
        lines[at + 2] = valueStart;
        lines[at + 3] = valueEnd;
        return fits(at);
    }

    /** Whether a header leaves the message as plain as it is: what frames it, or asks for more, is for Netty but a length. */
    private boolean fits(int at) {
        return switch (lines[at + 1] - lines[at]) {
            case 6 -> !is(at, "expect");
            case 7 -> !is(at, "upgrade") && !is(at, "trailer");
            case 10 -> !is(at, "connection") || connection(at);
            case 14 -> !is(at, "content-length") || contentLength(at);
            case 17 -> !is(at, "transfer-encoding");
            default -> true;
        };
    }

    private boolean connection(int at) {
        String value = value(at);
        if (value.equals("close")) {
            keepAlive = false;
        }
        return value.equals("close") || value.equals("keep-alive");
    }

    private boolean contentLength(int at) {
        int from = lines[at + 2];
        int to = lines[at + 3];
        if (length >= 0 || to == from || to - from > MOST_DIGITS) {
            return false;
        }
        int value = 0;
        for (int i = from; i < to; i++) {
            if (head[i] < '0' || head[i] > '9') {
                return false;
            }
            value = 10 * value + head[i] - '0';
        }
        length = value;
        return value <= Content.MAX_BYTES;
    }

    /** Whether a line's name is this one, which is of its length and in lower case. */
    private boolean is(int at, String lower) {
        int from = lines[at];
        for (int i = 0; i < lower.length(); i++) {
            byte b = head[from + i];
            if ((b >= 'A' && b <= 'Z' ? b + ('a' - 'A') : b) != lower.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    private String value(int at) {
        return new String(head, lines[at + 2], lines[at + 3] - lines[at + 2], StandardCharsets.ISO_8859_1);
    }

    /** The first value of a header, whatever the case of its name; null where it has none. */
    public String get(String name) {
        for (int at = 0; at < OFFSETS * count; at += OFFSETS) {
            if (lines[at + 1] - lines[at] == name.length() && sameName(at, name)) {
                return value(at);
            }
        }
        return null;
    }

    /** Whether a header has more than one line. */
    public boolean repeats(String name) {
        int lines = 0;
        for (int at = 0; at < OFFSETS * count; at += OFFSETS) {
            lines += this.lines[at + 1] - this.lines[at] == name.length() && sameName(at, name) ? 1 : 0;
        }
        return lines > 1;
    }

    private boolean sameName(int at, String name) {
        int from = lines[at];
        for (int i = 0; i < name.length(); i++) {
            int b = head[from + i];
            int c = name.charAt(i);
            // Letters differ in one bit by their case; the other bytes of a name here do not meet any of them so.
            if (b != c && ((b ^ c) != 0x20 || (b | 0x20) < 'a' || (b | 0x20) > 'z')) {
                return false;
            }
        }
        return true;
    }

    /** Whether a request wants a change. */
    public boolean isPut() {
        return head[0] == 'P';
    }

    /** What a request asks for. */
    public String target() {
        return new String(head, firstEnd + 1, secondEnd - firstEnd - 1, StandardCharsets.ISO_8859_1);
    }

    /** An answer's code. */
    public int status() {
        int i = VERSION.length + 1;
        return 100 * (head[i] - '0') + 10 * (head[i + 1] - '0') + head[i + 2] - '0';
    }

    /** Whether the connection stays. */
    public boolean isKeepAlive() {
        return keepAlive;
    }

    /** The body, a part of {@code in} that was read; its holder owns it. */
    public ByteBuf body(ByteBuf in) {
        return in.retainedSlice(in.readerIndex() + end, Math.max(0, length));
    }

    /** How long the body is. */
    public int bodyBytes() {
        return Math.max(0, length);
    }

    /**
     * Whether a text can be written into a head as it is: printable ASCII, and no space where {@code spaces} says so. What
     * can't goes through Netty's encoders, which know what becomes of it.
     */
    public static boolean isPlain(String text, boolean spaces) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c >= 0x7f || c < ' ' || c == ' ' && (!spaces || i == 0 || i == text.length() - 1)) {
                return false;
            }
        }
        return !text.isEmpty();
    }

    /** Writes a whole number that is not negative. */
    public static void writeNumber(ByteBuf out, long number) {
        long unit = 1;
        while (number / unit >= 10) {
            unit *= 10;
        }
        for (; unit > 0; unit /= 10) {
            out.writeByte('0' + (int) (number / unit % 10));
        }
    }

    /** Writes milliseconds, which are not negative, as seconds with three decimals. */
    public static void writeSeconds(ByteBuf out, long ms) {
        writeNumber(out, ms / 1000);
        out.writeByte('.').writeByte('0' + (int) (ms / 100 % 10)).writeByte('0' + (int) (ms / 10 % 10))
                .writeByte('0' + (int) (ms % 10));
    }
}
