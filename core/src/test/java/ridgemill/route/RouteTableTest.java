package ridgemill.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import ridgemill.route.Conditions.KeyRange;

/** The most specific route wins, and the compiled table agrees with a sequential search of all routes. */
class RouteTableTest {

    private static Route<String> route(String name, String path) {
        return route(name, path, Conditions.NONE);
    }

    private static Route<String> route(String name, String path, Conditions conditions) {
        return new Route<>(name, PathPattern.parse(path), conditions, name);
    }

    private static String match(List<Route<String>> routes, String method, String path, String tenant) {
        return new RouteTable<>(routes).match(new RouteQuery(method, path, tenant)).map(Route::name).orElse("none");
    }

    @ParameterizedTest
    @CsvSource({"/api/up, exact", "/api/m1, template", "/api/m1/balance, deep-template", "/api/m1/x, prefix",
        "/api/fixed/balance, literal-first", "/api/fixed/other, only-literals", "/api, prefix", "/api/, prefix",
        "/, none", "/apis, none", "/other/x, none", "/api//balance, prefix"})
    void mostSpecificPathWins(String path, String name) {
        assertEquals(name, match(List.of(route("prefix", "/api/**"), route("template", "/api/{m}"),
                route("exact", "/api/up"), route("deep-template", "/api/{m}/balance"),
                route("literal-first", "/api/fixed/{what}"), route("only-literals", "/api/fixed/other")), "GET", path,
                null));
    }

    @Test
    void earlierLiteralWinsOverLongerTemplate() {
        assertEquals("early", match(List.of(route("late", "/{x}/b"), route("early", "/a/**")), "GET", "/a/b", null));
    }

    @Test
    void conditionsDecideBetweenEqualPathsInOrder() {
        List<Route<String>> routes = List.of(route("plain", "/api/{m}"),
                route("put", "/api/{m}", new Conditions("PUT", null, Map.of(), null)),
                route("header", "/api/{m}", new Conditions(null, null, Map.of("x-app", "till"), null)),
                route("keys", "/api/{m}", new Conditions(null, null, Map.of(), new KeyRange("m5", "m6"))),
                route("tenant", "/api/{m}", new Conditions(null, "acme", Map.of(), null)));
        assertEquals("plain", match(routes, "GET", "/api/m1", "other"));
        assertEquals("put", match(routes, "PUT", "/api/m1", "other"));
        assertEquals("keys", match(routes, "PUT", "/api/m55", "other"));
        assertEquals("plain", match(routes, "GET", "/api/m6", "other"), "the upper bound is exclusive");
        assertEquals("tenant", match(routes, "PUT", "/api/m55", "acme"));
        RouteTable<String> table = new RouteTable<>(routes);
        assertEquals("header", table.match(
                new RouteQuery("PUT", "/api/m1", null, n -> n.equals("x-app") ? "till" : null)).orElseThrow().name());
        assertTrue(table.conflicts().isEmpty());
    }

    @Test
    void equallySpecificRoutesAreReportedWithAnExample() {
        RouteTable<String> table = new RouteTable<>(List.of(route("a", "/api/{meter}/balance"),
                route("b", "/api/{serial}/balance"), route("c", "/api/m1/balance"),
                route("get", "/up", new Conditions("GET", null, Map.of(), null)),
                route("put", "/up", new Conditions("PUT", null, Map.of(), null))));
        assertEquals(1, table.conflicts().size());
        RouteTable.Conflict<String> conflict = table.conflicts().get(0);
        assertEquals(List.of("a", "b"), List.of(conflict.first().name(), conflict.second().name()));
        assertEquals("GET /api/x/balance", conflict.example());
    }

    @Test
    void overlappingKeyRangesConflictWithAnExampleInBoth() {
        RouteTable<String> table = new RouteTable<>(List.of(
                route("low", "/api/{m}", new Conditions(null, null, Map.of(), new KeyRange(null, "m5"))),
                route("mid", "/api/{m}", new Conditions(null, null, Map.of(), new KeyRange("m4", "m8"))),
                route("high", "/api/{m}", new Conditions(null, null, Map.of(), new KeyRange("m8", null)))));
        assertEquals(1, table.conflicts().size());
        assertEquals("GET /api/m4", table.conflicts().get(0).example());
    }

    @ParameterizedTest
    @ValueSource(strings = {"api", "", "/a/*", "/a/b{c}", "/a/**/b", "/a?b", "/a#b", "/{}"})
    void invalidPatternIsRejected(String text) {
        assertThrows(IllegalArgumentException.class, () -> PathPattern.parse(text));
    }

    @Test
    void templatesThatNeedTooManyStatesAreRejected() {
        List<Route<String>> routes = new ArrayList<>();
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 400; i++) {
            StringBuilder path = new StringBuilder();
            for (int s = 0; s < 24; s++) {
                path.append('/').append(random.nextInt(2) == 0 ? "{x}" : "s" + random.nextInt(3));
            }
            routes.add(route("r" + i, path.toString()));
        }
        try {
            RouteTable<String> table = new RouteTable<>(routes);
            routes.forEach(r ->
                    assertTrue(table.match(new RouteQuery("GET", r.pathPattern().example(), null)).isPresent()));
        } catch (IllegalArgumentException e) {
            assertTrue(e.getMessage().contains("too many levels"));
        }
    }

    /** Compares with a sequential search: among all routes that match the request, none is more specific. */
    @Test
    void tableAgreesWithSequentialSearch() {
        long seed = System.nanoTime();
        System.out.println("RouteTableTest seed " + seed);
        SplittableRandom random = new SplittableRandom(seed);
        for (int round = 0; round < 300; round++) {
            List<Route<String>> routes = new ArrayList<>();
            int count = 1 + random.nextInt(12);
            for (int i = 0; i < count; i++) {
                routes.add(route("r" + i, path(random, true), conditions(random)));
            }
            RouteTable<String> table = new RouteTable<>(routes);
            for (int i = 0; i < routes.size(); i++) {
                for (int j = i + 1; j < routes.size(); j++) {
                    Route<String> a = routes.get(i);
                    Route<String> b = routes.get(j);
                    boolean reported = table.conflicts().stream().anyMatch(c -> c.first() == a && c.second() == b
                            || c.first() == b && c.second() == a);
                    assertEquals(a.conflictsWith(b), reported, a + " and " + b + ", seed " + seed);
                }
            }
            for (int i = 0; i < 60; i++) {
                boolean header = random.nextBoolean();
                RouteQuery query = new RouteQuery(random.nextBoolean() ? "GET" : "PUT", path(random, false),
                        random.nextInt(3) == 0 ? null : "t" + random.nextInt(2), n -> header ? "1" : null);
                List<Route<String>> matching = routes.stream().filter(r -> r.matches(query)).toList();
                Optional<Route<String>> matched = table.match(query);
                assertEquals(matching.isEmpty(), matched.isEmpty(), query + ", seed " + seed);
                matched.ifPresent(m -> {
                    assertTrue(matching.contains(m), query + ", seed " + seed);
                    assertFalse(matching.stream().anyMatch(r -> r.compareSpecificity(m) > 0), query + ", seed " + seed);
                });
            }
        }
    }

    /** With cycles in the order of specificity the result would depend on the order of the routes in the file. */
    @Test
    void specificityIsTransitiveAmongMatchingRoutes() {
        SplittableRandom random = new SplittableRandom(7);
        List<Route<String>> routes = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            routes.add(route("r" + i, path(random, true), conditions(random)));
        }
        RouteQuery query = new RouteQuery("GET", "/a/b", "t0", n -> "1");
        List<Route<String>> matching = new ArrayList<>(routes.stream().filter(r -> r.matches(query)).toList());
        matching.sort(Comparator.comparing(Route::name));
        for (Route<String> a : matching) {
            for (Route<String> b : matching) {
                assertEquals(-Integer.signum(a.compareSpecificity(b)), Integer.signum(b.compareSpecificity(a)));
                for (Route<String> c : matching) {
                    if (a.compareSpecificity(b) > 0 && b.compareSpecificity(c) > 0) {
                        assertTrue(a.compareSpecificity(c) > 0, a + ", " + b + ", " + c);
                    }
                }
            }
        }
    }

    private static String path(SplittableRandom random, boolean pattern) {
        StringBuilder path = new StringBuilder();
        int segments = 1 + random.nextInt(3);
        for (int i = 0; i < segments; i++) {
            path.append('/').append(pattern && random.nextInt(3) == 0 ? "{x}" : random.nextInt(8) == 0 ? ""
                    : String.valueOf((char) ('a' + random.nextInt(3))));
        }
        return path.append(pattern && random.nextInt(3) == 0 ? "/**" : "").toString();
    }

    private static Conditions conditions(SplittableRandom random) {
        KeyRange keys = switch (random.nextInt(5)) {
            case 0 -> new KeyRange("a", "b");
            case 1 -> new KeyRange("b", null);
            default -> null;
        };
        return new Conditions(random.nextInt(3) == 0 ? "GET" : null,
                random.nextInt(3) == 0 ? "t" + random.nextInt(2) : null,
                random.nextInt(4) == 0 ? Map.of("x-h", "1") : Map.of(), keys);
    }
}
