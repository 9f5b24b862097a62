package ridgemill.cdn.edge;

/**
 * A single range of bytes that names its first byte.
 *
 * @param first the first byte, from 0
 * @param last the last byte; {@link Long#MAX_VALUE} for the object's end
 */
public record ByteRange(long first, long last) {

    private static final String UNIT = "bytes=";
    private static final int MAX_DIGITS = 18;

    /** Reads a Range header; null if it is absent, malformed or asks for something else, which is then ignored. */
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

    /** Whether an object of this length has the first byte. */
    public boolean isSatisfiable(long length) {
        return first < length;
    }

    /** The last byte in an object of this length. */
    public long lastByteWithin(long length) {
        return Math.min(last, length - 1);
    }

    private static long number(String text) {
        return Digits.parse(text, MAX_DIGITS);
    }
}
