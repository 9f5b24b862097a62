package ridgemill.benchlink;

import java.util.LinkedHashMap;
import java.util.Map;

/** Reads the space-separated values of one line, in order. */
final class Fields {

    private final String line;
    private int at;

    Fields(String line) {
        this.line = line;
    }

    /** The next value as text. */
    String text() {
        if (at >= line.length()) {
            throw new WireException("line too short: " + line);
        }
        int end = line.indexOf(' ', at);
        end = end < 0 ? line.length() : end;
        String value = line.substring(at, end);
        at = end + 1;
        if (value.isEmpty()) {
            throw new WireException("empty value: " + line);
        }
        return value;
    }

    /** The next value as text; null where it is absent. */
    String optional() {
        String value = text();
        return value.equals("-") ? null : value;
    }

    /** All that is left of the line. */
    String rest() {
        if (at >= line.length()) {
            throw new WireException("line too short: " + line);
        }
        String value = line.substring(at);
        at = line.length();
        return value;
    }

    int integer() {
        return (int) longValue(text());
    }

    long longOr(long absent) {
        String value = optional();
        return value == null ? absent : longValue(value);
    }

    double number() {
        return numberValue(text());
    }

    double numberOr(double absent) {
        String value = optional();
        return value == null ? absent : numberValue(value);
    }

    boolean flag() {
        String value = text();
        if (!value.equals("0") && !value.equals("1")) {
            throw new WireException("neither 0 nor 1: " + line);
        }
        return value.equals("1");
    }

    /** The next value as name:value pairs; ones that make no number are skipped. */
    Map<String, Double> pairs() {
        String value = optional();
        Map<String, Double> pairs = new LinkedHashMap<>();
        if (value == null) {
            return pairs;
        }
        for (String pair : value.split(",")) {
            int colon = pair.indexOf(':');
            if (colon > 0) {
                try {
                    pairs.put(pair.substring(0, colon), Double.valueOf(pair.substring(colon + 1)));
                } catch (NumberFormatException e) {
                    continue;
                }
            }
        }
        return pairs;
    }

    /** Ends the line: values beyond the known ones are malformed. */
    void end() {
        if (at < line.length()) {
            throw new WireException("line too long: " + line);
        }
    }

    private long longValue(String value) {
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw new WireException("not a whole number: " + line);
        }
    }

    private double numberValue(String value) {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new WireException("not a number: " + line);
        }
    }
}
