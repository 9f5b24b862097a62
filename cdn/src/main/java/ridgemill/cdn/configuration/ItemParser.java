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

/** Turns stored items, which are JSON text, into their typed form. */
public final class ItemParser {

    private ItemParser() {}

    /**
     * The typed view of a set of items. Items were checked before they were stored; one that can't be read all the same,
     * as a newer build may have written it, is left out.
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

    /** The typed form of an item that sets a route; null if it drops one or can't be read. */
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

    /** The typed form of a route. Fails with an IllegalArgumentException if a field can't be read. */
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

    private static long duration(JsonNode content, String field, String otherwise) {
        return Durations.parseMillis(content.path(field).asText(otherwise));
    }

    private static List<Destination> destinations(JsonNode content) {
        List<Destination> destinations = new ArrayList<>();
        for (JsonNode part : content.path("trafficSplit")) {
            destinations.add(new Destination(
                    part.path("service").asText(), part.path("weight").asDouble(1)));
        }
        if (destinations.isEmpty()) {
            destinations.add(new Destination(content.path("service").asText(), 1));
        }
        return destinations;
    }

    /** The typed form of a service. */
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
