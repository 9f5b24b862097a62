package ridgemill.bench.scale;

import java.util.StringJoiner;

/** The configuration that is measured with: one service and as many routes as are asked for. */
final class Routes {

    private Routes() {}

    /** The change that brings the service and the limits. */
    static String base() {
        return """
                {"upsert":{"serviceTable":{"s":{"healthPath":"/health","connectionCap":100,"deduplicates":false,
                "ratePerS":500.0,"version":1}},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,
                "headerTimeout":"3000ms","idleTimeout":"15000ms","version":1}},"remove":{"routeTable":[]}}
                """;
    }

    /** A change that sets the routes of these numbers to a version. */
    static String change(int first, int count, long version) {
        StringJoiner routes = new StringJoiner(",");
        for (int route = first; route < first + count; route++) {
            routes.add("""
                    "r-%d":{"hostname":"a.example","pathPrefix":"/read/%d/","routeKind":"cacheable","timeout":"3s",
                    "targetLatency":"250ms","priorityLevel":2,"service":"s","maxAttempts":2,"cacheTtl":"40s",
                    "version":%d}""".formatted(route, route, version));
        }
        return "{\"upsert\":{\"routeTable\":{" + routes + "}},\"remove\":{\"routeTable\":[]}}";
    }
}
