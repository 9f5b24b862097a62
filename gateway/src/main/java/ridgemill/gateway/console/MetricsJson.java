package ridgemill.gateway.console;

import com.google.gson.JsonObject;
import java.util.Map;
import ridgemill.monitoring.ProxyMetrics;

/** Formats the metrics as JSON, with the names of the operators' documentation. */
final class MetricsJson {

    private MetricsJson() { }

    static String format(ProxyMetrics metrics) {
        JsonObject o = new JsonObject();
        o.add("passed", byClass(metrics.served()));
        o.add("dropped", byClass(metrics.refused()));
        o.add("bad_gateway", byClass(metrics.failed()));
        o.addProperty("upstream_tries", metrics.sentAttempts());
        o.addProperty("in_progress", metrics.inProgress());
        o.addProperty("known_cache_nodes", metrics.knownNodes());
        o.addProperty("skipped_cache_nodes", metrics.excludedNodes());
        metrics.extraCounts().forEach(o::addProperty);
        return o.toString();
    }

    private static JsonObject byClass(Map<String, Long> counts) {
        JsonObject o = new JsonObject();
        counts.forEach(o::addProperty);
        return o;
    }
}
