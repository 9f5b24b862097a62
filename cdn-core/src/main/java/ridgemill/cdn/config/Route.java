package ridgemill.cdn.config;

import java.util.List;

/**
 * A parsed route of the configuration.
 *
 * @param name the item's name
 * @param hostname the Host header that the route matches
 * @param pathPrefix the path prefix that the route matches; starts and ends with a slash
 * @param kind whether requests may be retried and answers cached
 * @param timeoutMs how long a request may take, in milliseconds
 * @param targetLatencyMs the latency within which an answer has its full value, in milliseconds
 * @param priorityLevel the route's priority; 0 is the highest
 * @param destinations the services that the route sends requests to, at least one
 * @param maxAttempts the maximum number of attempts for one client request, 1 or more
 * @param cacheTtlMs how long an answer may be cached, in milliseconds; 0 if answers are not cached
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
     * Chooses the destination of a request by weight.
     *
     * @param draw a number from 0 (inclusive) to 1 (exclusive); equal numbers give the same destination
     * @return the service's name; null if no destination has a weight above 0
     */
    public String destination(double draw) {
        double total = 0;
        for (Destination destination : destinations) {
            total += destination.weight();
        }
        double remaining = draw * total;
        String last = null;
        for (Destination destination : destinations) {
            if (destination.weight() <= 0) {
                continue;
            }
            last = destination.service();
            remaining -= destination.weight();
            if (remaining < 0) {
                return last;
            }
        }
        return last;
    }
}
