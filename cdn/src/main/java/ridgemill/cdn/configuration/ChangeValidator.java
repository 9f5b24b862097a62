package ridgemill.cdn.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Option;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import ridgemill.cdn.config.Destination;
import ridgemill.cdn.config.Item;
import ridgemill.cdn.config.ItemKind;
import ridgemill.cdn.config.ItemName;
import ridgemill.cdn.config.ItemSet;
import ridgemill.cdn.config.Route;
import ridgemill.cdn.json.TreeReader;

/** Checks what a schema can't say: that the configuration a change leads to holds together. */
public final class ChangeValidator {

    /** The longest time a route may hold a request, in milliseconds. */
    private static final long MAX_TIMEOUT_MS = 600_000;

    /**
     * Checks a change against the newest configuration.
     *
     * @param current the newest configuration; not changed
     * @return why the change is refused, or nothing if it is valid
     */
    public Option<InvalidChange> check(ConfigurationChange change, ItemSet current) {
        for (Item item : change.items()) {
            Option<InvalidChange> fault = checkAlone(item);
            if (fault.isDefined()) {
                return fault;
            }
        }
        ItemSet next = current.copy();
        Set<ItemName> changed = new HashSet<>();
        for (Item item : next.mergeAll(change.items())) {
            changed.add(item.name());
        }
        return checkTogether(next, changed);
    }

    private Option<InvalidChange> checkAlone(Item item) {
        if (item.isDrop() || item.name().kind() != ItemKind.ROUTE) {
            return Option.none();
        }
        Route route = route(item);
        if (route == null) {
            return invalid(item, "can't be read");
        }
        double total = 0;
        for (Destination destination : route.destinations()) {
            if (destination.weight() < 0) {
                return invalid(item, "a weight is below 0");
            }
            total += destination.weight();
        }
        if (!(total > 0)) {
            return invalid(item, "the weights add up to 0");
        }
        if (route.timeoutMs() > MAX_TIMEOUT_MS) {
            return invalid(item, "the timeout is over ten minutes");
        }
        return route.pathPrefix().startsWith("/") ? Option.none() : invalid(item, "the prefix starts with no slash");
    }

    /** Faults that the change has no part in, as two racing changes may leave behind, are no reason to refuse it. */
    private Option<InvalidChange> checkTogether(ItemSet next, Set<ItemName> changed) {
        Map<String, ItemName> routeAtPlace = new HashMap<>();
        for (Item item : next.all()) {
            Route route = item.isDrop() || item.name().kind() != ItemKind.ROUTE ? null : route(item);
            if (route == null) {
                continue;
            }
            Option<InvalidChange> unknown = checkDestinations(item, route, next, changed);
            if (unknown.isDefined()) {
                return unknown;
            }
            ItemName other = routeAtPlace.put(route.hostname() + "\n" + route.pathPrefix(), item.name());
            if (other != null && (changed.contains(other) || changed.contains(item.name()))) {
                return invalid(item, "has the same host and prefix as " + other.name());
            }
        }
        return Option.none();
    }

    private static Option<InvalidChange> checkDestinations(
            Item item, Route route, ItemSet next, Set<ItemName> changed) {
        for (Destination destination : route.destinations()) {
            ItemName serviceName = new ItemName(ItemKind.SERVICE, destination.service());
            Item service = next.get(serviceName);
            boolean unknown = service == null || service.isDrop();
            if (unknown && (changed.contains(item.name()) || changed.contains(serviceName))) {
                return invalid(item, "names the unknown service " + destination.service());
            }
        }
        return Option.none();
    }

    private Route route(Item item) {
        try {
            JsonNode content = TreeReader.json(item.content());
            return ItemParser.route(item.name().name(), content);
        } catch (IOException | IllegalArgumentException unreadable) {
            return null;
        }
    }

    private static Option<InvalidChange> invalid(Item item, String reason) {
        return Option.of(
                new InvalidChange(item.name().kind() + " " + item.name().name(), reason));
    }
}
