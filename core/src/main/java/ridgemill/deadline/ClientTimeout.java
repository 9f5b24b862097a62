package ridgemill.deadline;

import java.util.ArrayList;
import java.util.List;

/**
 * Parses the timeout that a client sent, in one of several formats, by the same rules for every frontend. Each kind of
 * malformed value has one result: a value that is not a number, is negative or exceeds an hour is invalid, and so is a
 * format that occurs twice (RFC 9110, section 5.3, allows one line for a field that is not a list). If several formats
 * are used, the shortest timeout holds, because each hop on the way may have added its own.
 */
public final class ClientTimeout {

    /** A timeout longer than this is a mistake, and a timer for it would outlive the process. */
    public static final double MAX_MS = 3_600_000;
    private static final int MAX_TEXT_LENGTH = 32;
    /** The most digits that a {@code grpc-timeout} may have. */
    private static final int MAX_GRPC_DIGITS = 8;

    /** How a timeout is written. */
    public enum Format {
        /** Seconds from when the client sent the request, with decimals: {@code 0.480}. */
        SECONDS,
        /** Up to eight digits and a unit of {@code H M S m u n}, like {@code grpc-timeout} of gRPC over HTTP/2. */
        GRPC,
        /** The deadline itself in Unix milliseconds; needs synchronized clocks, so an operator has to enable it. */
        UNIX_MS
    }

    /** The text of a timeout in one format. */
    public record RawValue(Format format, String text) { }

    /** The result of parsing. */
    public sealed interface Parsed { }

    /** The remaining time from now, in milliseconds, 0 or more. */
    public record Remaining(double ms) implements Parsed { }

    /** The client sent no timeout. */
    public record Absent() implements Parsed { }

    /** The timeout is malformed; {@code reason} is sent to the client. */
    public record Invalid(String reason) implements Parsed { }

    private ClientTimeout() { }

    /**
     * Parses all timeouts that a client sent with one request.
     *
     * @param unixMs the current time
     */
    public static Parsed parse(List<RawValue> values, double unixMs) {
        double shortestMs = Double.POSITIVE_INFINITY;
        List<Format> seen = new ArrayList<>(values.size());
        for (RawValue value : values) {
            if (seen.contains(value.format())) {
                return new Invalid("the time left is said twice");
            }
            seen.add(value.format());
            double ms = switch (value.format()) {
                case SECONDS -> 1000 * decimal(value.text());
                case GRPC -> grpcMs(value.text());
                case UNIX_MS -> untilMs(decimal(value.text()), unixMs);
            };
            if (Double.isNaN(ms)) {
                return new Invalid("the time left is no number");
            }
            if (ms < 0 || ms > MAX_MS) {
                return new Invalid(ms < 0 ? "the time left is negative" : "the time left is over an hour");
            }
            shortestMs = Math.min(shortestMs, ms);
        }
        return values.isEmpty() ? new Absent() : new Remaining(shortestMs);
    }

    /** The time until a deadline: 0 if it has passed; a negative deadline stays negative and is thus invalid. */
    private static double untilMs(double atMs, double unixMs) {
        return atMs < 0 ? atMs : Math.max(0, atMs - unixMs);
    }

    /**
     * Parses a plain decimal number such as {@code 12}, {@code 0.5} or {@code -1}, without exponent, hexadecimal digits
     * or a name for infinity; NaN for any other text.
     */
    private static double decimal(String text) {
        String t = text.trim();
        int from = t.startsWith("-") || t.startsWith("+") ? 1 : 0;
        boolean point = false;
        int digits = 0;
        for (int i = from; i < t.length(); i++) {
            char c = t.charAt(i);
            if (c == '.' && !point) {
                point = true;
            } else if (c >= '0' && c <= '9') {
                digits++;
            } else {
                return Double.NaN;
            }
        }
        return digits == 0 || t.length() > MAX_TEXT_LENGTH ? Double.NaN : Double.parseDouble(t);
    }

    private static double grpcMs(String text) {
        int digits = text.length() - 1;
        if (digits < 1 || digits > MAX_GRPC_DIGITS || !text.chars().limit(digits).allMatch(c -> c >= '0' && c <= '9')) {
            return Double.NaN;
        }
        double unitMs = switch (text.charAt(digits)) {
            case 'H' -> 3_600_000;
            case 'M' -> 60_000;
            case 'S' -> 1000;
            case 'm' -> 1;
            case 'u' -> 1e-3;
            case 'n' -> 1e-6;
            default -> Double.NaN;
        };
        return unitMs * Integer.parseInt(text.substring(0, digits));
    }
}
