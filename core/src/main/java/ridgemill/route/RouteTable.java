package ridgemill.route;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Routes compiled for matching. A lookup takes one hash table access per path segment, independent of the number of
 * routes: the tree of patterns is converted to a deterministic automaton whose states are sets of tree nodes (subset
 * construction, as for regular expressions), so that a lookup never backtracks.
 *
 * <p>Immutable, so that a running proxy can replace its table between two requests.
 *
 * @param <T> the type of the routes' targets
 */
public final class RouteTable<T> {

    /** Maximum number of states: templates that overlap at many levels multiply them. */
    static final int MAX_STATES = 500_000;

    /** Two routes of equal specificity that match the same request, and an example of such a request. */
    public record Conflict<T>(Route<T> first, Route<T> second, String example) { }

    /** A node of the tree of patterns, with the routes whose patterns end here. */
    private static final class PatternNode<T> {
        private final Map<String, PatternNode<T>> literals = new LinkedHashMap<>();
        private PatternNode<T> wildcard;
        private final List<Route<T>> exactRoutes = new ArrayList<>();
        private final List<Route<T>> prefixRoutes = new ArrayList<>();
    }

    /** A state of the automaton: its transitions, and the matching routes if the path ends here or goes further. */
    private static final class MatchState<T> {
        private Map<String, MatchState<T>> literals = Map.of();
        private MatchState<T> wildcard;
        private Candidates<T> matchesAtEnd;
        private Candidates<T> matchesBelow;
    }

    /** Routes that match a path, by tenant, sorted by descending specificity. */
    private static final class Candidates<T> {
        private final Map<String, List<Route<T>>> byTenant;
        private final List<Route<T>> anyTenant;

        Candidates(Collection<Route<T>> routes) {
            Map<String, List<Route<T>>> ofTenants = new HashMap<>();
            List<Route<T>> common = new ArrayList<>();
            for (Route<T> route : routes) {
                String tenant = route.conditions().tenant();
                (tenant == null ? common : ofTenants.computeIfAbsent(tenant, t -> new ArrayList<>())).add(route);
            }
            Comparator<Route<T>> mostSpecificFirst = (a, b) -> b.compareSpecificity(a);
            common.sort(mostSpecificFirst);
            ofTenants.values().forEach(list -> list.sort(mostSpecificFirst));
            // Compact copies, as memory access dominates the time of a lookup with many routes.
            anyTenant = List.copyOf(common);
            byTenant = Map.copyOf(ofTenants);
        }

        Route<T> bestMatch(RouteQuery query) {
            Route<T> ofTenant = byTenant.isEmpty() || query.tenant() == null ? null
                    : firstMatch(byTenant.getOrDefault(query.tenant(), List.of()), query);
            Route<T> common = firstMatch(anyTenant, query);
            return ofTenant == null || common != null && common.compareSpecificity(ofTenant) > 0 ? common : ofTenant;
        }

        private Route<T> firstMatch(List<Route<T>> routes, RouteQuery query) {
            for (Route<T> route : routes) {
                if (route.conditions().matches(query)) {
                    return route;
                }
            }
            return null;
        }

        void collectConflicts(Set<Conflict<T>> found, Set<List<String>> seen) {
            collectConflicts(anyTenant, found, seen);
            byTenant.values().forEach(list -> collectConflicts(list, found, seen));
        }

        /** Routes of equal specificity are adjacent, so that only those need to be compared pairwise. */
        private void collectConflicts(List<Route<T>> sorted, Set<Conflict<T>> found, Set<List<String>> seen) {
            for (int i = 0; i < sorted.size(); i++) {
                Route<T> a = sorted.get(i);
                for (int j = i + 1; j < sorted.size() && a.compareSpecificity(sorted.get(j)) == 0; j++) {
                    Route<T> b = sorted.get(j);
                    if (a.conflictsWith(b) && seen.add(List.of(a.name(), b.name()))) {
                        found.add(new Conflict<>(a, b, a.conflictExample(b)));
                    }
                }
            }
        }
    }

    /** A set of tree nodes, and the prefix routes that were passed on the way to it. */
    private record NodeSet<T>(List<PatternNode<T>> nodes, Set<Route<T>> passedPrefixRoutes) { }

    private final MatchState<T> root;
    private final List<Route<T>> routes;
    private final List<Conflict<T>> conflicts;

    /**
     * Compiles routes. {@link #conflicts} returns the pairs that the order of specificity does not decide.
     *
     * @throws IllegalArgumentException if the routes need too many states
     */
    public RouteTable(List<Route<T>> routes) {
        this.routes = List.copyOf(routes);
        PatternNode<T> tree = new PatternNode<>();
        this.routes.forEach(route -> insert(tree, route));
        Map<NodeSet<T>, MatchState<T>> states = new HashMap<>();
        root = buildState(new NodeSet<>(List.of(tree), Set.of()), states, new HashMap<>());
        Set<Conflict<T>> found = new LinkedHashSet<>();
        Set<List<String>> seen = new HashSet<>();
        states.values().forEach(s -> {
            s.matchesAtEnd.collectConflicts(found, seen);
            s.matchesBelow.collectConflicts(found, seen);
        });
        Map<String, Integer> order = new HashMap<>();
        this.routes.forEach(r -> order.putIfAbsent(r.name(), order.size()));
        conflicts = found.stream().sorted(Comparator.comparingInt((Conflict<T> c) ->
                Math.min(order.get(c.first().name()), order.get(c.second().name())))).toList();
    }

    private static <T> void insert(PatternNode<T> tree, Route<T> route) {
        PatternNode<T> node = tree;
        for (String segment : route.pathPattern().segments()) {
            if (segment != null) {
                node = node.literals.computeIfAbsent(segment, s -> new PatternNode<>());
            } else {
                node.wildcard = node.wildcard == null ? new PatternNode<>() : node.wildcard;
                node = node.wildcard;
            }
        }
        (route.pathPattern().prefix() ? node.prefixRoutes : node.exactRoutes).add(route);
    }

    /** Builds the state of a node set; {@code shared} holds existing candidates, as most states have the same few. */
    private MatchState<T> buildState(NodeSet<T> nodeSet, Map<NodeSet<T>, MatchState<T>> states,
                                     Map<Set<Route<T>>, Candidates<T>> shared) {
        MatchState<T> known = states.get(nodeSet);
        if (known != null) {
            return known;
        }
        if (states.size() >= MAX_STATES) {
            throw new IllegalArgumentException("the routes' templates cross one another at too many levels");
        }
        MatchState<T> state = new MatchState<>();
        states.put(nodeSet, state);
        Set<Route<T>> prefixRoutes = new LinkedHashSet<>(nodeSet.passedPrefixRoutes());
        nodeSet.nodes().forEach(n -> prefixRoutes.addAll(n.prefixRoutes));
        Set<Route<T>> routesAtEnd = new LinkedHashSet<>(prefixRoutes);
        nodeSet.nodes().forEach(n -> routesAtEnd.addAll(n.exactRoutes));
        state.matchesBelow = shared.computeIfAbsent(prefixRoutes, Candidates::new);
        state.matchesAtEnd = shared.computeIfAbsent(routesAtEnd, Candidates::new);
        List<PatternNode<T>> wildcards = nodeSet.nodes().stream().map(n -> n.wildcard).filter(n -> n != null).toList();
        Set<String> segments = new LinkedHashSet<>();
        nodeSet.nodes().forEach(n -> segments.addAll(n.literals.keySet()));
        Map<String, MatchState<T>> literals = new HashMap<>();
        for (String segment : segments) {
            List<PatternNode<T>> next = new ArrayList<>();
            nodeSet.nodes().stream().map(n -> n.literals.get(segment)).filter(n -> n != null).forEach(next::add);
            if (!segment.isEmpty()) {
                next.addAll(wildcards);
            }
            literals.put(segment, buildState(new NodeSet<>(next, prefixRoutes), states, shared));
        }
        state.literals = Map.copyOf(literals);
        state.wildcard = wildcards.isEmpty() ? null
                : buildState(new NodeSet<>(wildcards, prefixRoutes), states, shared);
        return state;
    }

    /** The most specific route that matches a request; empty if there is none. */
    public Optional<Route<T>> match(RouteQuery query) {
        String path = query.path();
        MatchState<T> state = root;
        int from = 1;
        while (true) {
            int slash = path.indexOf('/', from);
            String segment = path.substring(from, slash < 0 ? path.length() : slash);
            MatchState<T> next = state.literals.get(segment);
            if (next == null && !segment.isEmpty()) {
                next = state.wildcard;
            }
            if (next == null) {
                return Optional.ofNullable(state.matchesBelow.bestMatch(query));
            }
            state = next;
            if (slash < 0) {
                return Optional.ofNullable(state.matchesAtEnd.bestMatch(query));
            }
            from = slash + 1;
        }
    }

    /** All routes in the given order. */
    public List<Route<T>> routes() {
        return routes;
    }

    /** Pairs of equally specific routes that match the same request; a table with conflicts must not be used. */
    public List<Conflict<T>> conflicts() {
        return conflicts;
    }
}
