package ridgemill.cdn.config;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** An immutable typed view of a configuration: finds a request's route by host and longest path prefix. */
public final class RoutingTable {

    /** The table before any configuration is known. */
    public static final RoutingTable EMPTY = new RoutingTable(java.util.List.of(), java.util.List.of(), Limits.DEFAULT);

    private final Map<String, Map<String, Route>> routesByHost = new HashMap<>();
    private final Map<String, Service> services = new HashMap<>();
    private final Set<String> cacheableServices = new HashSet<>();
    private final Set<String> uncacheableServices = new HashSet<>();
    private final Limits limits;

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

    /** Two routes at one place are refused when they are sent; after two racing calls the higher version serves. */
    private static Route newer(Route one, Route other) {
        if (one.version() != other.version()) {
            return one.version() > other.version() ? one : other;
        }
        return one.name().compareTo(other.name()) < 0 ? one : other;
    }

    /**
     * The route of a request, or null if there is none.
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

    /** The service of this name, or null if there is none. */
    public Service service(String name) {
        return services.get(name);
    }

    /** Whether a route leads there whose answers may be cached. */
    public boolean hasCacheableRoute(String service) {
        return cacheableServices.contains(service);
    }

    /** Whether a route leads there whose answers may not be cached. */
    public boolean hasUncacheableRoute(String service) {
        return uncacheableServices.contains(service);
    }

    /** All services. */
    public Collection<Service> services() {
        return services.values();
    }

    /** The bounds on clients. */
    public Limits limits() {
        return limits;
    }

    /** Whether there is no route. */
    public boolean isEmpty() {
        return routesByHost.isEmpty();
    }
}
