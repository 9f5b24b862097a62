package ridgemill.cdn.configuration;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import ridgemill.cdn.agreement.ChangeRules;
import ridgemill.cdn.config.Destination;
import ridgemill.cdn.config.Item;
import ridgemill.cdn.config.ItemKind;
import ridgemill.cdn.config.ItemName;
import ridgemill.cdn.config.Route;

/**
 * The consistency rules of a configuration: each route refers to existing services, and no two routes have the same
 * host and path prefix. Keeps an index of routes by host and prefix and by service, so that the cost of checking a
 * change depends only on the size of the change.
 */
public final class ConfigurationRules implements ChangeRules {

    private final Map<ItemName, Route> routes = new HashMap<>();
    private final Map<String, Set<ItemName>> routesByMatch = new HashMap<>();
    private final Map<String, Set<ItemName>> routesByService = new HashMap<>();
    private final Set<String> services = new HashSet<>();

    @Override
    public void reset(Collection<Item> items) {
        routes.clear();
        routesByMatch.clear();
        routesByService.clear();
        services.clear();
        apply(items);
    }

    @Override
    public void apply(Collection<Item> items) {
        for (Item item : items) {
            if (item.name().kind() == ItemKind.ROUTE) {
                remove(item.name(), routes.remove(item.name()));
                Route route = ItemParser.route(item);
                if (route != null) {
                    add(item.name(), route);
                }
            } else if (item.name().kind() == ItemKind.SERVICE) {
                if (item.isTombstone()) {
                    services.remove(item.name().name());
                } else {
                    services.add(item.name().name());
                }
            }
        }
    }

    private void add(ItemName name, Route route) {
        routes.put(name, route);
        routesByMatch.computeIfAbsent(matchKey(route), key -> new HashSet<>()).add(name);
        for (Destination destination : route.destinations()) {
            routesByService
                    .computeIfAbsent(destination.service(), key -> new HashSet<>())
                    .add(name);
        }
    }

    private void remove(ItemName name, Route route) {
        if (route == null) {
            return;
        }
        routesByMatch.get(matchKey(route)).remove(name);
        for (Destination destination : route.destinations()) {
            routesByService.get(destination.service()).remove(name);
        }
    }

    private static String matchKey(Route route) {
        return route.hostname() + "\n" + route.pathPrefix();
    }

    @Override
    public Optional<String> validate(Collection<Item> items) {
        Change change = new Change(items);
        return change.routeFault().or(change::serviceFault);
    }

    /** A change to be checked against the index. */
    private final class Change {

        /** The changed routes; empty for removed routes. */
        private final Map<ItemName, Optional<Route>> changedRoutes = new HashMap<>();
        /** The changed services, with whether they exist after the change. */
        private final Map<String, Boolean> changedServices = new HashMap<>();

        Change(Collection<Item> items) {
            for (Item item : items) {
                if (item.name().kind() == ItemKind.ROUTE) {
                    changedRoutes.put(item.name(), Optional.ofNullable(ItemParser.route(item)));
                } else if (item.name().kind() == ItemKind.SERVICE) {
                    changedServices.put(item.name().name(), !item.isTombstone());
                }
            }
        }

        Optional<String> routeFault() {
            Map<String, ItemName> changedByMatch = new HashMap<>();
            for (Map.Entry<ItemName, Optional<Route>> entry : changedRoutes.entrySet()) {
                Route route = entry.getValue().orElse(null);
                if (route == null) {
                    continue;
                }
                ItemName name = entry.getKey();
                for (Destination destination : route.destinations()) {
                    if (!hasService(destination.service())) {
                        return Optional.of(describe(name) + ": names the unknown service " + destination.service());
                    }
                }
                ItemName other = changedByMatch.put(matchKey(route), name);
                other = other == null ? unchangedRouteAt(matchKey(route)) : other;
                if (other != null) {
                    return Optional.of(describe(name) + ": has the same host and prefix as " + other.name());
                }
            }
            return Optional.empty();
        }

        /** Returns a route with this host and prefix that the change does not affect; null if there is none. */
        private ItemName unchangedRouteAt(String key) {
            for (ItemName name : routesByMatch.getOrDefault(key, Set.of())) {
                if (!changedRoutes.containsKey(name)) {
                    return name;
                }
            }
            return null;
        }

        private boolean hasService(String service) {
            return changedServices.getOrDefault(service, services.contains(service));
        }

        /** Checks that no removed service is used by a route that remains. */
        Optional<String> serviceFault() {
            for (Map.Entry<String, Boolean> entry : changedServices.entrySet()) {
                for (ItemName name : routesByService.getOrDefault(entry.getKey(), Set.of())) {
                    if (!entry.getValue() && !changedRoutes.containsKey(name)) {
                        return Optional.of(describe(name) + ": names the unknown service " + entry.getKey());
                    }
                }
            }
            return Optional.empty();
        }
    }

    private static String describe(ItemName name) {
        return name.kind() + " " + name.name();
    }
}
