package ridgemill.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import ridgemill.route.Conditions;
import ridgemill.route.PathPattern;
import ridgemill.route.Route;
import ridgemill.route.RouteQuery;
import ridgemill.route.RouteTable;

/** What finding a route costs, by the number of routes: it is to stay flat. The naive way stands beside it. */
public final class RouteCost {

    private static final int QUERIES = 4096;
    private static final int ROUNDS = 7;
    private static final double SECONDS = 0.4;

    private RouteCost() {}

    public static void main(String[] args) {
        System.out.printf(
                "%10s %14s %14s %16s %12s%n", "routes", "ns a match", "naive ns", "compiled in ms", "matched");
        for (int count : new int[] {10, 1000, 10_000}) {
            List<Route<Integer>> routes = routes(count);
            long start = System.nanoTime();
            RouteTable<Integer> table = new RouteTable<>(routes);
            double compiled = (System.nanoTime() - start) / 1e6;
            RouteQuery[] queries = queries(count);
            double matched = 0;
            for (RouteQuery q : queries) {
                matched += table.match(q).isPresent() ? 1 : 0;
            }
            System.out.printf(
                    Locale.ROOT,
                    "%10d %14.0f %14.0f %16.1f %11.0f%%%n",
                    count,
                    median(queries, q -> table.match(q).isPresent()),
                    count > 1000 ? naive(routes, queries, 200) : naive(routes, queries, QUERIES),
                    compiled,
                    100 * matched / queries.length);
        }
    }

    private interface Look {
        boolean found(RouteQuery q);
    }

    private static double median(RouteQuery[] queries, Look look) {
        double[] each = new double[ROUNDS];
        int sink = 0;
        for (int round = 0; round < ROUNDS; round++) {
            long start = System.nanoTime();
            long n = 0;
            while (System.nanoTime() - start < SECONDS * 1e9) {
                for (RouteQuery q : queries) {
                    sink += look.found(q) ? 1 : 0;
                }
                n += queries.length;
            }
            each[round] = (double) (System.nanoTime() - start) / n;
        }
        java.util.Arrays.sort(each);
        if (sink == 42) {
            System.out.print("");
        }
        return each[ROUNDS / 2];
    }

    private static double naive(List<Route<Integer>> routes, RouteQuery[] queries, int some) {
        RouteQuery[] few = java.util.Arrays.copyOf(queries, some);
        return median(
                few,
                q -> routes.stream()
                        .filter(r -> r.matches(q))
                        .max(Route::compareSpecificity)
                        .isPresent());
    }

    /** Some exact, some with a template, some open; all under a common beginning, as in an installation that grew. */
    private static List<Route<Integer>> routes(int count) {
        List<Route<Integer>> routes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String path = switch (i % 3) {
                case 0 -> "/api/s" + i + "/balance";
                case 1 -> "/api/s" + i + "/{meter}/balance";
                default -> "/api/s" + i + "/**";
            };
            routes.add(new Route<>("r" + i, PathPattern.parse(path), Conditions.NONE, i));
        }
        return routes;
    }

    private static RouteQuery[] queries(int count) {
        SplittableRandom random = new SplittableRandom(1);
        RouteQuery[] queries = new RouteQuery[QUERIES];
        for (int i = 0; i < QUERIES; i++) {
            int route = random.nextInt(count);
            queries[i] = new RouteQuery(
                    "GET",
                    switch (route % 3) {
                        case 0 -> "/api/s" + route + "/balance";
                        case 1 -> "/api/s" + route + "/m" + random.nextInt(1000) + "/balance";
                        default -> "/api/s" + route + "/a/b";
                    },
                    "tenant");
        }
        return queries;
    }
}
