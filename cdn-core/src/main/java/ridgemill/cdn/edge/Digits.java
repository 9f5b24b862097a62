package ridgemill.cdn.edge;

/** Reads numbers that are written in decimal digits alone: no sign, no space, nothing else that a number's reader takes. */
public final class Digits {

    private Digits() {}

    /**
     * The number that a text is.
     *
     * @param mostDigits how many digits it may have, 18 at most
     * @return -1 if it is empty, too long or has anything but digits
     */
    public static long parse(String text, int mostDigits) {
        if (text.isEmpty() || text.length() > mostDigits) {
            return -1;
        }
        long value = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c < '0' || c > '9') {
                return -1;
            }
            value = 10 * value + c - '0';
        }
        return value;
    }
}
