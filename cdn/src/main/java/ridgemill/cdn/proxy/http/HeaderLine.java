package ridgemill.cdn.proxy.http;

import java.nio.charset.StandardCharsets;

/** Parses single header lines and their values. */
final class HeaderLine {

    private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";
    private static final int MAX_LENGTH_DIGITS = 18;
    private static final boolean[] TOKEN_CHARS = new boolean[128];

    static {
        for (int c = 0; c < TOKEN_CHARS.length; c++) {
            TOKEN_CHARS[c] = c >= '0' && c <= '9'
                    || c >= 'a' && c <= 'z'
                    || c >= 'A' && c <= 'Z'
                    || TOKEN_SYMBOLS.indexOf(c) >= 0;
        }
    }

    private HeaderLine() {}

    /** Parses a header line and adds it. Obsolete line folding and invalid names are rejected. */
    static void parse(byte[] bytes, int start, int end, Headers into) throws BadMessageException {
        int colon = start;
        while (colon < end && isToken(bytes[colon])) {
            colon++;
        }
        if (colon == start || colon == end || bytes[colon] != ':') {
            throw new BadMessageException(400, "a line of the head is no header");
        }
        int from = colon + 1;
        int to = end;
        while (from < to && isSpace(bytes[from])) {
            from++;
        }
        while (to > from && isSpace(bytes[to - 1])) {
            to--;
        }
        for (int i = from; i < to; i++) {
            if (bytes[i] >= 0 && bytes[i] < ' ' && bytes[i] != '\t' || bytes[i] == 127) {
                throw new BadMessageException(400, "control character in a header value");
            }
        }
        into.add(
                new String(bytes, start, colon - start, StandardCharsets.ISO_8859_1),
                new String(bytes, from, to - from, StandardCharsets.ISO_8859_1));
    }

    /** Parses the value of a Content-Length header. */
    static long parseContentLength(String text) throws BadMessageException {
        if (text.isEmpty() || text.length() > MAX_LENGTH_DIGITS) {
            throw new BadMessageException(text.isEmpty() ? 400 : 413, "Content-Length is empty or too long");
        }
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) < '0' || text.charAt(i) > '9') {
                throw new BadMessageException(400, "Content-Length is not a number");
            }
        }
        return Long.parseLong(text);
    }

    /** Whether a text is a token as defined by RFC 9110, as methods and header names are. */
    static boolean isToken(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) >= TOKEN_CHARS.length || !TOKEN_CHARS[text.charAt(i)]) {
                return false;
            }
        }
        return !text.isEmpty();
    }

    private static boolean isToken(byte b) {
        return b >= 0 && TOKEN_CHARS[b];
    }

    private static boolean isSpace(byte b) {
        return b == ' ' || b == '\t';
    }
}
