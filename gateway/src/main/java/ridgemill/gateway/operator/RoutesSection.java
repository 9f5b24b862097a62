package ridgemill.gateway.operator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import ridgemill.serviceclass.ServiceClassPolicy;
import ridgemill.gateway.operator.OperatorConfig.Target;
import ridgemill.policy.Router.Effect;
import ridgemill.route.Conditions.KeyRange;
import ridgemill.route.Conditions;
import ridgemill.route.PathPattern;
import ridgemill.route.Route;
import ridgemill.route.RouteTable;

/** {@code [[route]]}: which requests go where, under which class. */
final class RoutesSection {

    /** The operations that fronts take in. */
    private static final List<String> METHODS = List.of("GET", "PUT", "DELETE");
    /** All requests lie below this path. */
    private static final PathPattern TAKEN = PathPattern.parse("/api/**");

    private RoutesSection() { }

    static RouteTable<Target> read(Section root, Map<String, ServiceClassPolicy> policies, Map<String, NodeGroup> groups) {
        List<Route<Target>> routes = new ArrayList<>();
        Map<String, Section> sections = new HashMap<>();
        for (Section s : root.list("route")) {
            route(s, policies, groups).ifPresent(r -> {
                Section earlier = sections.putIfAbsent(r.name(), s);
                if (earlier != null) {
                    s.problem("name", "duplicate", "a route before this one has the name \"" + r.name() + "\" too",
                            "give each route a name of its own");
                } else {
                    routes.add(r);
                }
            });
            s.done();
        }
        RouteTable<Target> table = new RouteTable<>(List.of());
        try {
            table = new RouteTable<>(routes);
        } catch (IllegalArgumentException e) {
            root.problem("route", "too-many-templates", e.getMessage(), "use prefixes in place of some templates");
        }
        table.conflicts().forEach(c -> sections.get(c.second().name()).problem("path", "ambiguous",
                "takes " + c.example() + " as \"" + c.first().name() + "\" does (" + c.first().pathPattern().text() + "), and "
                + "neither is more specific", "add a condition to one of them, or take one out"));
        unreachable(routes, sections);
        return table;
    }

    private static Optional<Route<Target>> route(Section s, Map<String, ServiceClassPolicy> policies,
                                                 Map<String, NodeGroup> groups) {
        Set<String> classes = policies.keySet();
        Optional<String> name = s.text("name");
        if (!s.has("name")) {
            s.problem(null, "missing", "has no name", "give it one, by which logs and explain call it");
        }
        Optional<PathPattern> path = path(s);
        Optional<String> method = s.word("method", METHODS);
        Optional<String> tenant = s.text("tenant");
        Map<String, String> headers = new LinkedHashMap<>();
        s.table("headers").ifPresent(h -> h.keys().forEach(k -> h.text(k)
                .ifPresent(v -> headers.put(k.toLowerCase(Locale.ROOT), v))));
        Optional<KeyRange> keys = s.table("keys").flatMap(RoutesSection::keys);
        Optional<String> service = s.text("class");
        service.filter(c -> !classes.contains(c)).ifPresent(c -> s.problem("class", "undefined-class",
                "no class has the name \"" + c + "\"", classes.isEmpty() ? "define it under [classes." + c + "]"
                : "define it under [classes." + c + "], or did you mean \"" + Nearest.of(c, classes) + "\"?"));
        Optional<String> group = s.text("group");
        group.filter(g -> !groups.containsKey(g)).ifPresent(g -> s.problem("group", "undefined-group",
                "no group has the name \"" + g + "\"", "define it under [groups." + g + "]"));
        group.map(groups::get).filter(g -> g.resp() != null && g.resp().plain())
                .ifPresent(g -> plain(s, g, service, policies));
        path.filter(p -> !p.overlaps(TAKEN)).ifPresent(p -> s.problem("path", "unreachable",
                "no request has such a path: all begin with /api/", "begin it with /api/"));
        if (path.isPresent() && keys.isPresent()) {
            List<String> segments = path.get().segments();
            String last = path.get().prefix() || segments.isEmpty() ? null : segments.get(segments.size() - 1);
            if (last != null && !keys.get().contains(last)) {
                s.problem("keys", "unreachable", "the path's last segment, \"" + last + "\", is the key, and it lies outside",
                        "use a template such as {meter} in its place, or leave keys out");
            }
        }
        if (name.isEmpty() || path.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new Route<>(name.get(), path.get(), new Conditions(method.orElse(null), tenant.orElse(null),
                headers, keys.orElse(null)), new Target(service.orElse(null), group.orElse(null))));
    }

    /** Nodes that drop no repeats take keyed writes only where the store remembers their keys for long enough. */
    private static void plain(Section s, NodeGroup g, Optional<String> service, Map<String, ServiceClassPolicy> policies) {
        ServiceClassPolicy policy = service.map(policies::get).orElse(null);
        double guardMs = g.resp().guardMs();
        if (service.isEmpty()) {
            s.problem("group", "plain-group", "nodes of \"" + g.name() + "\" drop no repeats, and requests may name a class "
                    + "that is keyed", "name a class for the route");
        } else if (policy != null && policy.effect() == Effect.KEYED && guardMs < policy.deduplicationWindowMs()) {
            s.problem("class", "plain-group", "nodes of \"" + g.name() + "\" drop no repeats" + (guardMs > 0
                    ? " after " + (long) guardMs + "ms" : "") + ", which the class counts on for "
                    + (long) policy.deduplicationWindowMs() + "ms", "set guard = \"" + (long) policy.deduplicationWindowMs() + "ms\" or more in [groups."
                    + g.name() + "], or route it to nodes that do");
        }
    }

    private static Optional<PathPattern> path(Section s) {
        if (!s.has("path")) {
            s.problem(null, "missing", "has no path", "set path = \"/api/**\" to take every request");
        }
        return s.text("path").flatMap(text -> {
            try {
                return Optional.of(PathPattern.parse(text));
            } catch (IllegalArgumentException e) {
                s.problem("path", "bad-path", e.getMessage(), "write it as /api/up, /api/{meter}/balance or /api/**");
                return Optional.empty();
            }
        });
    }

    private static Optional<KeyRange> keys(Section s) {
        Optional<String> prefix = s.text("prefix").filter(p -> !p.isEmpty());
        Optional<String> from = s.text("from").or(() -> prefix);
        Optional<String> to = s.text("to").or(() -> prefix.map(RoutesSection::after));
        if (s.has("prefix") && (s.has("from") || s.has("to"))) {
            s.problem("prefix", "two-ranges", "from or to stands beside it", "give either a prefix, or from and to");
        }
        s.done();
        try {
            return Optional.of(new KeyRange(from.orElse(null), to.orElse(null)));
        } catch (IllegalArgumentException e) {
            s.problem("from", "empty-range", e.getMessage(), "swap from and to, or give a later to");
            return Optional.empty();
        }
    }

    /** The first text behind all that begin so. */
    private static String after(String prefix) {
        int last = prefix.length() - 1;
        return prefix.substring(0, last) + (char) (prefix.charAt(last) + 1);
    }

    /** A route whose every request is taken by ranges of keys of others that are more specific. */
    private static void unreachable(List<Route<Target>> routes, Map<String, Section> sections) {
        Map<String, List<Route<Target>>> ranged = new HashMap<>();
        routes.stream().filter(r -> r.conditions().keyRange() != null && r.conditions().method() == null
                && r.conditions().tenant() == null && r.conditions().headers().isEmpty())
                .forEach(r -> ranged.computeIfAbsent(shape(r), p -> new ArrayList<>()).add(r));
        routes.stream().filter(r -> r.conditions().keyRange() == null && r.conditions().tenant() == null).forEach(r -> {
            List<Route<Target>> over = ranged.getOrDefault(shape(r), List.of());
            if (!over.isEmpty() && coversAll(over)) {
                sections.get(r.name()).problem("path", "unreachable", "the ranges of keys of "
                        + over.stream().map(o -> "\"" + o.name() + "\"").collect(java.util.stream.Collectors.joining(", "))
                        + " take every request of this path", "take this route out, or narrow their ranges");
            }
        });
    }

    private static String shape(Route<?> r) {
        return r.pathPattern().segments() + (r.pathPattern().prefix() ? "/**" : "");
    }

    private static boolean coversAll(List<Route<Target>> routes) {
        List<KeyRange> ranges = routes.stream().map(r -> r.conditions().keyRange()).sorted((a, b) -> a.from() == null ? -1
                : b.from() == null ? 1 : a.from().compareTo(b.from())).toList();
        if (ranges.get(0).from() != null && !ranges.get(0).from().isEmpty()) {
            return false;
        }
        String reached = ranges.get(0).to();
        for (KeyRange range : ranges) {
            if (reached == null) {
                return true;
            }
            if (range.from() != null && range.from().compareTo(reached) > 0) {
                return false;
            }
            reached = range.to() == null || range.to().compareTo(reached) > 0 ? range.to() : reached;
        }
        return reached == null;
    }
}
