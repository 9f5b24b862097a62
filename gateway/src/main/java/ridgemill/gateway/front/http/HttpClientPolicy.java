package ridgemill.gateway.front.http;

import java.util.Set;
import ridgemill.deadline.ClientTimeout.Format;

/**
 * How clients are served over HTTP where the protocol leaves a choice.
 *
 * @param timeoutFormats the formats in which a request may state how long its client waits
 * @param timeoutOptional whether a request without a timeout gets the timeout of its class; otherwise it is invalid
 * @param allowsHalfClose whether a client that closes its sending side still gets its responses; otherwise it counts as
 *     disconnected
 * @param maxConcurrentRequests how many requests of one connection are processed at a time, at least 1; responses keep
 *     the order of the requests
 * @param sendsReasons whether rejections and failures carry their reason code in {@code X-Reason}
 */
public record HttpClientPolicy(Set<Format> timeoutFormats, boolean timeoutOptional, boolean allowsHalfClose,
                               int maxConcurrentRequests, boolean sendsReasons) {

    /** A policy under which responses carry no reason codes. */
    public HttpClientPolicy(Set<Format> timeoutFormats, boolean timeoutOptional, boolean allowsHalfClose,
                            int maxConcurrentRequests) {
        this(timeoutFormats, timeoutOptional, allowsHalfClose, maxConcurrentRequests, false);
    }

    /**
     * The platform's policy: each request states its timeout in seconds, a client that closes its sending side counts
     * as disconnected, and each request waits for the one before it.
     */
    public static final HttpClientPolicy PLATFORM = new HttpClientPolicy(Set.of(Format.SECONDS), false, false, 1);

    public HttpClientPolicy {
        timeoutFormats = Set.copyOf(timeoutFormats);
        if (maxConcurrentRequests < 1 || timeoutFormats.isEmpty()) {
            throw new IllegalArgumentException("no way to say a time, or no room for a request");
        }
    }

    /** Returns the header that carries a timeout in the given format. */
    public static String timeoutHeader(Format format) {
        return switch (format) {
            case SECONDS -> "X-Budget";
            case GRPC -> "grpc-timeout";
            case UNIX_MS -> "X-Deadline";
        };
    }
}
