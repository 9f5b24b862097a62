package ridgemill.cdn.settings;

/** Parses durations with a unit, such as {@code 1500ms} or {@code 2.5s}. */
public final class Durations {

    private static final double MS_PER_SECOND = 1000;

    private Durations() {}

    /**
     * Returns the duration in milliseconds.
     *
     * @throws IllegalArgumentException if the text is not a number with the unit {@code ms} or {@code s}
     */
    public static long parseMillis(String text) {
        try {
            if (text.endsWith("ms")) {
                return Math.round(Double.parseDouble(text.substring(0, text.length() - 2)));
            }
            if (text.endsWith("s")) {
                return Math.round(Double.parseDouble(text.substring(0, text.length() - 1)) * MS_PER_SECOND);
            }
        } catch (NumberFormatException notANumber) {
            throw malformed(text);
        }
        throw malformed(text);
    }

    private static IllegalArgumentException malformed(String text) {
        return new IllegalArgumentException("\"" + text + "\" is not a duration such as 1500ms or 2.5s");
    }
}
