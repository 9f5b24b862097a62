package ridgemill.cdn.config;

/**
 * A service that a route sends requests to.
 *
 * @param service the service's name
 * @param weight its share of the route's requests relative to the other destinations, 0 or more
 */
public record Destination(String service, double weight) {}
