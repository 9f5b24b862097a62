package ridgemill.gateway.front.http;

import java.util.Set;
import ridgemill.deadline.ClientTimeout.Format;

/**
 * What holds for clients over HTTP beside what the protocol says.
 *
 * @param forms in which a request may say how long its client waits
 * @param unsaid whether one that says nothing has its class's time; else it is no request
 * @param halfCloseStays whether a client that ends its sending may still read its answers; else it has left
 * @param sideBySide how many requests of one connection are carried out at a time, at least 1; answers keep their order
 * @param tellsWhy whether refusals and failures carry their reason, by its stable name, in {@code X-Reason}
 */
public record HttpTerms(Set<Format> forms, boolean unsaid, boolean halfCloseStays, int sideBySide, boolean tellsWhy) {

    /** Terms under which nobody is told why. */
    public HttpTerms(Set<Format> forms, boolean unsaid, boolean halfCloseStays, int sideBySide) {
        this(forms, unsaid, halfCloseStays, sideBySide, false);
    }

    /** The platform's: seconds are said by all, a client that closes has left, and each request waits for those before it. */
    public static final HttpTerms PLATFORM = new HttpTerms(Set.of(Format.SECONDS), false, false, 1);

    public HttpTerms {
        forms = Set.copyOf(forms);
        if (sideBySide < 1 || forms.isEmpty()) {
            throw new IllegalArgumentException("no way to say a time, or no room for a request");
        }
    }

    /** The header in which a form is said. */
    public static String header(Format form) {
        return switch (form) {
            case SECONDS -> "X-Budget";
            case GRPC -> "grpc-timeout";
            case UNIX_MS -> "X-Deadline";
        };
    }
}
