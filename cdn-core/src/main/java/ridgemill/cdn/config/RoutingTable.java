package ridgemill.cdn.config;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** An immutable view of a parsed configuration, which finds the route of a request by host and longest path prefix. */
public final class RoutingTable {

    /** The table that is used before a configuration is known. */
    public static final RoutingTable EMPTY = new RoutingTable(java.util.List.of(), java.util.List.of(), Limits.DEFAULT);

    private final Map<String, Map<String, Route>> routesByHost = new HashMap<>();
    private final Map<String, Service> services = new HashMap<>();
    private final Set<String> cacheableServices = new HashSet<>();
    private final Set<String> uncacheableServices = new HashSet<>();
    private final Limits limits;

    /** A table of these routes and services. */
    public RoutingTable(Collection<Route> routes, Collection<Service> services, Limits limits) {
        for (Route route : routes) {
            Map<String, Route> byPrefix = routesByHost.computeIfAbsent(route.hostname(), host -> new HashMap<>());
            byPrefix.merge(route.pathPrefix(), route, RoutingTable::newer);
            Set<String> kind = route.kind() == RouteKind.CACHEABLE ? cacheableServices : uncacheableServices;
            route.destinations().forEach(destination -> kind.add(destination.service()));
        }
        for (Service service : services) {
            this.services.put(service.name(), service);
        }
        this.limits = limits;
    }

    /**
     * Of two routes with the same host and prefix, the one to use. They are refused when they are submitted; two
     * concurrent calls can still set both, and then the higher version is used.
     */
    private static Route newer(Route one, Route other) {
        if (one.version() != other.version()) {
            return one.version() > other.version() ? one : other;
        }
        return one.name().compareTo(other.name()) < 0 ? one : other;
    }

    /**
     * The route of a request; null if none matches.
     *
     * @param hostname the Host header
     * @param path the path without its query
     */
    public Route match(String hostname, String path) {
        Map<String, Route> byPrefix = routesByHost.get(hostname);
        if (byPrefix == null) {
            return null;
        }
        for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
            Route route = byPrefix.get(path.substring(0, end + 1));
            if (route != null) {
                return route;
            }
        }
        return null;
    }

    /** The service with this name; null if there is none. */
    public Service service(String name) {
        return services.get(name);
    }

    /** Whether a cacheable route sends requests to this service. */
    public boolean hasCacheableRoute(String service) {
        return cacheableServices.contains(service);
    }

    /** Whether a route that is not cacheable sends requests to this service. */
    public boolean hasUncacheableRoute(String service) {
        return uncacheableServices.contains(service);
    }

    /** All services. */
    public Collection<Service> services() {
        return services.values();
    }

    /** The limits on client requests. */
    public Limits limits() {
        return limits;
    }

    /** Whether there are no routes. */
    public boolean isEmpty() {
        return routesByHost.isEmpty();
    }
}
