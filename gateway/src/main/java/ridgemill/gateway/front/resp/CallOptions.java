package ridgemill.gateway.front.resp;

import java.util.List;
import java.util.Locale;
import ridgemill.deadline.ClientTimeout;

/**
 * What a client says of its calls beside the command itself: for a connection by its name ({@code CLIENT SETNAME},
 * {@code HELLO ... SETNAME}), for one command by {@code RIDGE.WITH}. What is not said is null or 0.
 *
 * @param requestedClass the class that the call names
 * @param timeoutMs how long its client waits, in milliseconds; 0 for as long as the class says
 * @param id the call's own id; not for a connection
 * @param idempotencyKey by which nodes drop its repeats; not for a connection
 * @param retry whether it is a client's retry; not for a connection
 */
record CallOptions(String requestedClass, double timeoutMs, String id, String idempotencyKey, boolean retry) {

    static final CallOptions NONE = new CallOptions(null, 0, null, null, false);
    private static final int MAX_ID_LENGTH = 64;
    private static final int MAX_KEY_LENGTH = 128;

    /** The options with one more said; throws where it makes no sense, with a message for the client. */
    CallOptions with(String field, String value, boolean ofOneCall) {
        return switch (field.toLowerCase(Locale.ROOT)) {
            case "class" -> new CallOptions(value, timeoutMs, id, idempotencyKey, retry);
            case "deadline" -> new CallOptions(requestedClass, parseTimeoutMs(value), id, idempotencyKey, retry);
            case "id" -> new CallOptions(requestedClass, timeoutMs, requireSingleCall(ofOneCall, field, requirePrintable(field, value, MAX_ID_LENGTH)),
                    idempotencyKey, retry);
            case "idempotency-key" -> new CallOptions(requestedClass, timeoutMs, id, requireSingleCall(ofOneCall, field, requirePrintable(field, value,
                    MAX_KEY_LENGTH)), retry);
            case "again" -> new CallOptions(requestedClass, timeoutMs, id, idempotencyKey,
                    requireSingleCall(ofOneCall, field, value).equals("1"));
            default -> throw new IllegalArgumentException("no such option: " + field
                    + "; class, deadline, id, idempotency-key and again are");
        };
    }

    private static String requireSingleCall(boolean ofOneCall, String field, String value) {
        if (!ofOneCall) {
            throw new IllegalArgumentException(field + " is of one call alone: say it by RIDGE.WITH");
        }
        return value;
    }

    /** Texts that go into other protocols' headers: what could end a line there is refused here. */
    private static String requirePrintable(String field, String value, int most) {
        if (value.isEmpty() || value.length() > most || !value.chars().allMatch(c -> c > ' ' && c <= '~')) {
            throw new IllegalArgumentException(field + " is 1 to " + most + " printable characters without blanks");
        }
        return value;
    }

    private static double parseTimeoutMs(String value) {
        boolean millis = value.endsWith("ms");
        int unit = millis ? 2 : value.endsWith("s") ? 1 : 0;
        if (unit > 0 && ClientTimeout.parse(List.of(new ClientTimeout.RawValue(ClientTimeout.Format.SECONDS, value.substring(0, value.length() - unit))), 0)
                instanceof ClientTimeout.Remaining said) {
            // Read as seconds, a number of milliseconds has an hour as its bound too.
            double ms = millis ? said.ms() / 1000 : said.ms();
            if (ms > 0) {
                return ms;
            }
        }
        throw new IllegalArgumentException("deadline is a time such as 250ms or 2s");
    }

    /** Reads a connection's name: one that holds {@code =} says options, such as {@code class=balance;deadline=1s}. */
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
