package ridgemill.cdn.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import ridgemill.cdn.config.Destination;
import ridgemill.cdn.config.Item;
import ridgemill.cdn.config.Limits;
import ridgemill.cdn.config.Route;
import ridgemill.cdn.config.RouteKind;
import ridgemill.cdn.config.RoutingTable;
import ridgemill.cdn.config.Service;
import ridgemill.cdn.json.TreeReader;
import ridgemill.cdn.settings.Durations;

/** Parses stored items, which are JSON text, into typed values. */
public final class ItemParser {

    private ItemParser() {}

    /**
     * Parses a set of items. Items are validated before they are stored, but one that was written by a newer build may
     * still be unreadable. Unreadable items are logged and skipped.
     */
    public static RoutingTable routingTable(Collection<Item> items) {
        List<Route> routes = new ArrayList<>();
        List<Service> services = new ArrayList<>();
        Limits limits = Limits.DEFAULT;
        for (Item item : items) {
            if (item.isTombstone()) {
                continue;
            }
            try {
                JsonNode content = TreeReader.parseJson(item.content());
                switch (item.name().kind()) {
                    case ROUTE -> routes.add(route(item.name().name(), content));
                    case SERVICE -> services.add(service(item.name().name(), content));
                    case LIMITS -> limits = limits(content);
                }
            } catch (IOException | IllegalArgumentException unreadable) {
                System.getLogger(ItemParser.class.getName())
                        .log(System.Logger.Level.WARNING, "event=item_unreadable item=" + item.name());
            }
        }
        return new RoutingTable(routes, services, limits);
    }

    /** Parses a route item. Returns null if it is a tombstone or cannot be parsed. */
    static Route route(Item item) {
        if (item.isTombstone()) {
            return null;
        }
        try {
            return route(item.name().name(), TreeReader.parseJson(item.content()));
        } catch (IOException | IllegalArgumentException unreadable) {
            return null;
        }
    }

    /**
     * Parses a route.
     *
     * @throws IllegalArgumentException if a field is invalid
     */
    public static Route route(String name, JsonNode content) {
        RouteKind kind = RouteKind.ofWireName(content.path("routeKind").asText());
        if (kind == null) {
            throw new IllegalArgumentException(
                    "unknown routeKind " + content.path("routeKind").asText());
        }
        return new Route(
                name,
                content.path("hostname").asText(),
                content.path("pathPrefix").asText(),
                kind,
                duration(content, "timeout", "30s"),
                duration(content, "targetLatency", "1s"),
                content.path("priorityLevel").asInt(0),
                destinations(content),
                Math.max(1, content.path("maxAttempts").asInt(1)),
                duration(content, "cacheTtl", "0s"),
                content.path("version").asLong());
    }

    private static long duration(JsonNode content, String field, String defaultValue) {
        return Durations.parseMillis(content.path(field).asText(defaultValue));
    }

    private static List<Destination> destinations(JsonNode content) {
        List<Destination> destinations = new ArrayList<>();
        for (JsonNode entry : content.path("trafficSplit")) {
            destinations.add(new Destination(
                    entry.path("service").asText(), entry.path("weight").asDouble(1)));
        }
        if (destinations.isEmpty()) {
            destinations.add(new Destination(content.path("service").asText(), 1));
        }
        return destinations;
    }

    /** Parses a service. */
    public static Service service(String name, JsonNode content) {
        return new Service(
                name,
                content.path("healthPath").asText(),
                content.path("connectionCap").asInt(Integer.MAX_VALUE),
                content.path("deduplicates").asBoolean(false),
                content.path("ratePerS").asDouble(0),
                content.path("version").asLong());
    }

    private static Limits limits(JsonNode content) {
        return new Limits(
                content.path("maxHeaderBytes").asInt(Limits.DEFAULT.maxHeaderBytes()),
                content.path("maxBodyBytes").asLong(Limits.DEFAULT.maxBodyBytes()),
                duration(content, "headerTimeout", Limits.DEFAULT.headerTimeoutMs() + "ms"),
                duration(content, "idleTimeout", Limits.DEFAULT.idleTimeoutMs() + "ms"));
    }
}
