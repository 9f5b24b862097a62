package ridgemill.gateway.front.http;

import java.util.Set;
import ridgemill.deadline.ClientTimeout.Format;

/**
 * What holds for clients over HTTP beside what the protocol says.
 *
 * @param timeoutFormats in which a request may say how long its client waits
 * @param timeoutOptional whether one that says nothing has its class's time; else it is no request
 * @param allowsHalfClose whether a client that ends its sending may still read its answers; else it has left
 * @param maxConcurrentRequests how many requests of one connection are carried out at a time, at least 1; answers keep their order
 * @param sendsReasons whether refusals and failures carry their reason, by its stable name, in {@code X-Reason}
 */
public record HttpClientPolicy(Set<Format> timeoutFormats, boolean timeoutOptional, boolean allowsHalfClose, int maxConcurrentRequests, boolean sendsReasons) {

    /** Terms under which nobody is told why. */
    public HttpClientPolicy(Set<Format> forms, boolean unsaid, boolean halfCloseStays, int sideBySide) {
        this(forms, unsaid, halfCloseStays, sideBySide, false);
    }

    /** The platform's: seconds are said by all, a client that closes has left, and each request waits for those before it. */
    public static final HttpClientPolicy PLATFORM = new HttpClientPolicy(Set.of(Format.SECONDS), false, false, 1);

    public HttpClientPolicy {
        timeoutFormats = Set.copyOf(timeoutFormats);
        if (maxConcurrentRequests < 1 || timeoutFormats.isEmpty()) {
            throw new IllegalArgumentException("no way to say a time, or no room for a request");
        }
    }

    /** The header in which a form is said. */
    public static String timeoutHeader(Format form) {
        return switch (form) {
            case SECONDS -> "X-Budget";
            case GRPC -> "grpc-timeout";
            case UNIX_MS -> "X-Deadline";
        };
    }
}
