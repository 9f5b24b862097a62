package ridgemill.deadline;

import java.util.ArrayList;
import java.util.List;

/**
 * What a client says of its time, in one of several forms, judged alike on every front. Each way of saying nonsense has one
 * outcome: a value that is no number, negative or over an hour is unfit, and so is one that is said twice in one form (RFC
 * 9110, section 5.3, allows one line for a field that is no list). Where several forms are used, the shortest holds, as each
 * hop on the way may have added its own.
 */
public final class ClientTimeout {

    /** A time past this is a mistake, and as a timer would outlive the process. */
    public static final double MAX_MS = 3_600_000;
    private static final int MOST_TEXT = 32;
    /** The most digits that a number of {@code grpc-timeout} has. */
    private static final int GRPC_DIGITS = 8;

    /** How a time is written. */
    public enum Format {
        /** Seconds from when the client sent it, with decimals: {@code 0.480}. */
        SECONDS,
        /** Up to eight digits and a unit of {@code H M S m u n}, as gRPC over HTTP/2 has its {@code grpc-timeout}. */
        GRPC,
        /** The moment itself in Unix milliseconds, by clocks that agree; only where an operator says that they do. */
        UNIX_MS
    }

    /** A value of one form. */
    public record RawValue(Format format, String text) { }

    /** What it comes to. */
    public sealed interface Parsed { }

    /** So long from now, in milliseconds, 0 or more. */
    public record Remaining(double ms) implements Parsed { }

    /** Nothing was said. */
    public record Absent() implements Parsed { }

    /** It makes no sense; {@code why} is for the client. */
    public record Invalid(String reason) implements Parsed { }

    private ClientTimeout() { }

    /**
     * Judges all that a client said.
     *
     * @param unixMs the time now
     */
    public static Parsed parse(List<RawValue> claims, double unixMs) {
        double least = Double.POSITIVE_INFINITY;
        List<Format> seen = new ArrayList<>(claims.size());
        for (RawValue claim : claims) {
            if (seen.contains(claim.format())) {
                return new Invalid("the time left is said twice");
            }
            seen.add(claim.format());
            double ms = switch (claim.format()) {
                case SECONDS -> 1000 * decimal(claim.text());
                case GRPC -> grpc(claim.text());
                case UNIX_MS -> absolute(decimal(claim.text()), unixMs);
            };
            if (Double.isNaN(ms)) {
                return new Invalid("the time left is no number");
            }
            if (ms < 0 || ms > MAX_MS) {
                return new Invalid(ms < 0 ? "the time left is negative" : "the time left is over an hour");
            }
            least = Math.min(least, ms);
        }
        return claims.isEmpty() ? new Absent() : new Remaining(least);
    }

    /** A moment that has passed leaves nothing; one that is no time at all stays nonsense. */
    private static double absolute(double atMs, double unixMs) {
        return atMs < 0 ? atMs : Math.max(0, atMs - unixMs);
    }

    /** A plain decimal number, as {@code 12}, {@code 0.5} or {@code -1}: no exponent, no hexadecimal, no infinity by name. */
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
        return digits == 0 || t.length() > MOST_TEXT ? Double.NaN : Double.parseDouble(t);
    }

    private static double grpc(String text) {
        int digits = text.length() - 1;
        if (digits < 1 || digits > GRPC_DIGITS || !text.chars().limit(digits).allMatch(c -> c >= '0' && c <= '9')) {
            return Double.NaN;
        }
        double unit = switch (text.charAt(digits)) {
            case 'H' -> 3_600_000;
            case 'M' -> 60_000;
            case 'S' -> 1000;
            case 'm' -> 1;
            case 'u' -> 1e-3;
            case 'n' -> 1e-6;
            default -> Double.NaN;
        };
        return unit * Integer.parseInt(text.substring(0, digits));
    }
}
