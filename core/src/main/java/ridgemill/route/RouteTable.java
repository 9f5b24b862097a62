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
 * Routes compiled for matching. A look-up takes one step in a hash table for each segment of the path, however many
 * routes there are: the tree of patterns is made deterministic as subsets of its nodes, as a regular expression is, so
 * that there is never a second branch to try.
 *
 * <p>Immutable, so a running proxy may swap one for another between two requests.
 *
 * @param <T> the type of the routes' targets
 */
public final class RouteTable<T> {

    /** Past so many places a table is refused: templates that cross one another at many levels multiply. */
    static final int MAX_PLACES = 500_000;

    /** Two routes that take one request, where neither wins, and such a request. */
    public record Conflict<T>(Route<T> first, Route<T> second, String example) { }

    /** A node of the tree of patterns. */
    private static final class Node<T> {
        private final Map<String, Node<T>> literals = new LinkedHashMap<>();
        private Node<T> any;
        private final List<Route<T>> closed = new ArrayList<>();
        private final List<Route<T>> open = new ArrayList<>();
    }

    /** Where a path may have got to; what it may go on to; and the routes that take it if it ends here or falls off. */
    private static final class Place<T> {
        private Map<String, Place<T>> literals = Map.of();
        private Place<T> any;
        private Candidates<T> ending;
        private Candidates<T> below;
    }

    /** Routes that take one path, by tenant, the more specific first. */
    private static final class Candidates<T> {
        private final Map<String, List<Route<T>>> ofTenant;
        private final List<Route<T>> ofAny;

        Candidates(Collection<Route<T>> routes) {
            Map<String, List<Route<T>>> named = new HashMap<>();
            List<Route<T>> common = new ArrayList<>();
            for (Route<T> route : routes) {
                String tenant = route.conditions().tenant();
                (tenant == null ? common : named.computeIfAbsent(tenant, t -> new ArrayList<>())).add(route);
            }
            Comparator<Route<T>> winnerFirst = (a, b) -> b.compareSpecificity(a);
            common.sort(winnerFirst);
            named.values().forEach(list -> list.sort(winnerFirst));
            // Compact copies: with many routes a look-up waits for memory and for little else.
            ofAny = List.copyOf(common);
            ofTenant = Map.copyOf(named);
        }

        Route<T> best(RouteQuery q) {
            Route<T> own = ofTenant.isEmpty() || q.tenant() == null ? null
                    : first(ofTenant.getOrDefault(q.tenant(), List.of()), q);
            Route<T> common = first(ofAny, q);
            return own == null || common != null && common.compareSpecificity(own) > 0 ? common : own;
        }

        private Route<T> first(List<Route<T>> routes, RouteQuery q) {
            for (Route<T> route : routes) {
                if (route.conditions().matches(q)) {
                    return route;
                }
            }
            return null;
        }

        void conflicts(Set<Conflict<T>> found, Set<List<String>> seen) {
            conflicts(ofAny, found, seen);
            ofTenant.values().forEach(list -> conflicts(list, found, seen));
        }

        /** Equals stand side by side in the order, so only a run of them needs to be compared pair by pair. */
        private void conflicts(List<Route<T>> sorted, Set<Conflict<T>> found, Set<List<String>> seen) {
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

    /** A subset of the tree's nodes, and the open routes that were passed on the way to it. */
    private record Subset<T>(List<Node<T>> nodes, Set<Route<T>> passed) { }

    private final Place<T> root;
    private final List<Route<T>> routes;
    private final List<Conflict<T>> conflicts;

    /** Compiles routes; {@link #conflicts} tells which can't be told apart. */
    public RouteTable(List<Route<T>> routes) {
        this.routes = List.copyOf(routes);
        Node<T> tree = new Node<>();
        this.routes.forEach(route -> plant(tree, route));
        Map<Subset<T>, Place<T>> places = new HashMap<>();
        root = place(new Subset<>(List.of(tree), Set.of()), places, new HashMap<>());
        Set<Conflict<T>> found = new LinkedHashSet<>();
        Set<List<String>> seen = new HashSet<>();
        places.values().forEach(p -> {
            p.ending.conflicts(found, seen);
            p.below.conflicts(found, seen);
        });
        Map<String, Integer> order = new HashMap<>();
        this.routes.forEach(r -> order.putIfAbsent(r.name(), order.size()));
        conflicts = found.stream().sorted(Comparator.comparingInt((Conflict<T> c) -> Math.min(order.get(c.first().name()),
                order.get(c.second().name())))).toList();
    }

    private static <T> void plant(Node<T> tree, Route<T> route) {
        Node<T> node = tree;
        for (String segment : route.pathPattern().segments()) {
            if (segment != null) {
                node = node.literals.computeIfAbsent(segment, s -> new Node<>());
            } else {
                node.any = node.any == null ? new Node<>() : node.any;
                node = node.any;
            }
        }
        (route.pathPattern().prefix() ? node.open : node.closed).add(route);
    }

    /** {@code shared} has the candidates that are made already: most places end in the same few. */
    private Place<T> place(Subset<T> at, Map<Subset<T>, Place<T>> places, Map<Set<Route<T>>, Candidates<T>> shared) {
        Place<T> known = places.get(at);
        if (known != null) {
            return known;
        }
        if (places.size() >= MAX_PLACES) {
            throw new IllegalArgumentException("the routes' templates cross one another at too many levels");
        }
        Place<T> place = new Place<>();
        places.put(at, place);
        Set<Route<T>> open = new LinkedHashSet<>(at.passed());
        at.nodes().forEach(n -> open.addAll(n.open));
        Set<Route<T>> ending = new LinkedHashSet<>(open);
        at.nodes().forEach(n -> ending.addAll(n.closed));
        place.below = shared.computeIfAbsent(open, Candidates::new);
        place.ending = shared.computeIfAbsent(ending, Candidates::new);
        List<Node<T>> any = at.nodes().stream().map(n -> n.any).filter(n -> n != null).toList();
        Set<String> words = new LinkedHashSet<>();
        at.nodes().forEach(n -> words.addAll(n.literals.keySet()));
        Map<String, Place<T>> literals = new HashMap<>();
        for (String word : words) {
            List<Node<T>> next = new ArrayList<>();
            at.nodes().stream().map(n -> n.literals.get(word)).filter(n -> n != null).forEach(next::add);
            if (!word.isEmpty()) {
                next.addAll(any);
            }
            literals.put(word, place(new Subset<>(next, open), places, shared));
        }
        place.literals = Map.copyOf(literals);
        place.any = any.isEmpty() ? null : place(new Subset<>(any, open), places, shared);
        return place;
    }

    /** The route that a request takes; empty if none takes it. */
    public Optional<Route<T>> match(RouteQuery q) {
        String path = q.path();
        Place<T> place = root;
        int from = 1;
        while (true) {
            int slash = path.indexOf('/', from);
            String segment = path.substring(from, slash < 0 ? path.length() : slash);
            Place<T> next = place.literals.get(segment);
            if (next == null && !segment.isEmpty()) {
                next = place.any;
            }
            if (next == null) {
                return Optional.ofNullable(place.below.best(q));
            }
            place = next;
            if (slash < 0) {
                return Optional.ofNullable(place.ending.best(q));
            }
            from = slash + 1;
        }
    }

    /** All routes, as they were given. */
    public List<Route<T>> routes() {
        return routes;
    }

    /** Pairs of routes that take one request, where neither wins; a table with any must not be used. */
    public List<Conflict<T>> conflicts() {
        return conflicts;
    }
}
