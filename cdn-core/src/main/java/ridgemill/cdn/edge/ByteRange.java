package ridgemill.cdn.edge;

/**
 * A single byte range of a Range header (RFC 9110) that names its first byte.
 *
 * @param first the position of the first byte, from 0
 * @param last the position of the last byte; {@link Long#MAX_VALUE} if the range is open-ended
 */
public record ByteRange(long first, long last) {

    private static final String UNIT = "bytes=";
    private static final int MAX_DIGITS = 18;

    /**
     * Parses a Range header. Returns null if it is absent, malformed or of another form, such as a suffix range or
     * several ranges; the header is then ignored.
     */
    public static ByteRange parse(String header) {
        if (header == null || !header.startsWith(UNIT)) {
            return null;
        }
        int dash = header.indexOf('-');
        if (dash < 0) {
            return null;
        }
        long first = number(header.substring(UNIT.length(), dash));
        String end = header.substring(dash + 1);
        long last = end.isEmpty() ? Long.MAX_VALUE : number(end);
        return first < 0 || last < first ? null : new ByteRange(first, last);
    }

    /** Whether an object of this length, in bytes, contains the first byte of the range. */
    public boolean isSatisfiable(long length) {
        return first < length;
    }

    /** The position of the last byte of the range in an object of this length, in bytes. */
    public long lastByteWithin(long length) {
        return Math.min(last, length - 1);
    }

    private static long number(String text) {
        return Digits.parse(text, MAX_DIGITS);
    }
}
