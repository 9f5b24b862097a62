package ridgemill.cdn.config;

import java.util.List;

/**
 * A route of the configuration in typed form.
 *
 * @param name the item's name
 * @param hostname the Host header that it serves
 * @param pathPrefix the beginning of the paths that it serves; starts and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMs the longest time a request is held, in milliseconds
 * @param targetLatencyMs the time within which an answer earns its full worth, in milliseconds
 * @param priorityLevel the route's rank, 0 being the highest
 * @param destinations the services it sends to, at least one
 * @param maxAttempts the greatest number of instances one try of a client may be sent to, 1 or more
 * @param cacheTtlMs how long an answer may be kept, in milliseconds; 0 where answers are not cached
 * @param version the item's version
 */
public record Route(
        String name,
        String hostname,
        String pathPrefix,
        RouteKind kind,
        long timeoutMs,
        long targetLatencyMs,
        int priorityLevel,
        List<Destination> destinations,
        int maxAttempts,
        long cacheTtlMs,
        long version) {

    public Route {
        destinations = List.copyOf(destinations);
    }

    /**
     * The destination of a request.
     *
     * @param draw a number from 0 (inclusive) to 1 (exclusive); the same number gives the same destination
     */
    public String destination(double draw) {
        double total = 0;
        for (Destination destination : destinations) {
            total += destination.weight();
        }
        double left = draw * total;
        String last = null;
        for (Destination destination : destinations) {
            if (destination.weight() <= 0) {
                continue;
            }
            last = destination.service();
            left -= destination.weight();
            if (left < 0) {
                return last;
            }
        }
        return last;
    }
}
