package ridgemill.gateway.front.resp;

import java.util.List;
import java.util.Locale;
import ridgemill.deadline.ClientTimeout;

/**
 * Options that a client sets for its calls: for a connection by its name ({@code CLIENT SETNAME},
 * {@code HELLO ... SETNAME}), for one command by {@code RIDGE.WITH}. Options that are not set are null or 0.
 *
 * @param requestedClass the class that the call names
 * @param timeoutMs how long the client waits, in milliseconds; 0 for the deadline of the class
 * @param id the id of the call; not valid for a connection
 * @param idempotencyKey the key by which nodes drop duplicates of the call; not valid for a connection
 * @param retry whether the call is a retry of the client; not valid for a connection
 */
record CallOptions(String requestedClass, double timeoutMs, String id, String idempotencyKey, boolean retry) {

    static final CallOptions NONE = new CallOptions(null, 0, null, null, false);
    private static final int MAX_ID_LENGTH = 64;
    private static final int MAX_KEY_LENGTH = 128;

    /**
     * Returns these options with one more set.
     *
     * @param singleCall whether the options are for one call rather than for a connection
     * @throws IllegalArgumentException if the option is invalid, with a message for the client
     */
    CallOptions with(String field, String value, boolean singleCall) {
        return switch (field.toLowerCase(Locale.ROOT)) {
            case "class" -> new CallOptions(value, timeoutMs, id, idempotencyKey, retry);
            case "deadline" -> new CallOptions(requestedClass, parseTimeoutMs(value), id, idempotencyKey, retry);
            case "id" -> new CallOptions(requestedClass, timeoutMs, requireSingleCall(singleCall, field,
                    requirePrintable(field, value, MAX_ID_LENGTH)), idempotencyKey, retry);
            case "idempotency-key" -> new CallOptions(requestedClass, timeoutMs, id, requireSingleCall(singleCall,
                    field, requirePrintable(field, value, MAX_KEY_LENGTH)), retry);
            case "again" -> new CallOptions(requestedClass, timeoutMs, id, idempotencyKey,
                    requireSingleCall(singleCall, field, value).equals("1"));
            default -> throw new IllegalArgumentException("no such option: " + field
                    + "; class, deadline, id, idempotency-key and again are");
        };
    }

    private static String requireSingleCall(boolean singleCall, String field, String value) {
        if (!singleCall) {
            throw new IllegalArgumentException(field + " is of one call alone: say it by RIDGE.WITH");
        }
        return value;
    }

    /**
     * Checks a text that is sent in headers of other protocols. Characters that could end a line there are rejected.
     */
    private static String requirePrintable(String field, String value, int maxLength) {
        if (value.isEmpty() || value.length() > maxLength || !value.chars().allMatch(c -> c > ' ' && c <= '~')) {
            throw new IllegalArgumentException(
                    field + " is 1 to " + maxLength + " printable characters without blanks");
        }
        return value;
    }

    private static double parseTimeoutMs(String value) {
        boolean millis = value.endsWith("ms");
        int unitLength = millis ? 2 : value.endsWith("s") ? 1 : 0;
        if (unitLength > 0 && ClientTimeout.parse(List.of(new ClientTimeout.RawValue(ClientTimeout.Format.SECONDS,
                value.substring(0, value.length() - unitLength))), 0) instanceof ClientTimeout.Remaining parsed) {
            // Both units are parsed as seconds, so a number of milliseconds is limited to 3600 too.
            double ms = millis ? parsed.ms() / 1000 : parsed.ms();
            if (ms > 0) {
                return ms;
            }
        }
        throw new IllegalArgumentException("deadline is a time such as 250ms or 2s");
    }

    /**
     * Parses a connection's name. A name that contains {@code =} sets options, as in {@code class=balance;deadline=1s}.
     *
     * @throws IllegalArgumentException if the options are invalid, with a message for the client
     */
    static CallOptions fromConnectionName(String name) {
        CallOptions options = NONE;
        if (name.indexOf('=') < 0) {
            return options;
        }
        for (String pair : name.split(";")) {
            int at = pair.indexOf('=');
            if (at < 0) {
                throw new IllegalArgumentException("a name that holds = says options, as class=balance;deadline=1s");
            }
            options = options.with(pair.substring(0, at), pair.substring(at + 1), false);
        }
        return options;
    }
}
