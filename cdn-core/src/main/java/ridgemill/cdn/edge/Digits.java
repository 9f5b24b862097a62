package ridgemill.cdn.edge;

/**
 * Parses numbers that consist of decimal digits only, without the signs and blanks that the parsers of the JDK accept.
 */
public final class Digits {

    private Digits() {}

    /**
     * Parses a number.
     *
     * @param maxDigits the maximum number of digits, at most 18
     * @return the number; -1 if the text is empty, too long or contains a character other than a digit
     */
    public static long parse(String text, int maxDigits) {
        if (text.isEmpty() || text.length() > maxDigits) {
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
