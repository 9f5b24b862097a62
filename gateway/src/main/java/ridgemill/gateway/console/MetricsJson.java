package ridgemill.gateway.console;

import com.google.gson.JsonObject;
import java.util.Map;
import ridgemill.monitoring.ProxyMetrics;

/** Formats the metrics as JSON, with the names of the operators' documentation. */
final class MetricsJson {

    private MetricsJson() { }

    static String format(ProxyMetrics figures) {
        JsonObject o = new JsonObject();
        o.add("passed", byClass(figures.served()));
        o.add("dropped", byClass(figures.refused()));
        o.add("bad_gateway", byClass(figures.failed()));
        o.addProperty("upstream_tries", figures.sentAttempts());
        o.addProperty("in_progress", figures.inProgress());
        o.addProperty("known_cache_nodes", figures.knownNodes());
        o.addProperty("skipped_cache_nodes", figures.excludedNodes());
        figures.extraCounts().forEach(o::addProperty);
        return o.toString();
    }

    private static JsonObject byClass(Map<String, Long> counts) {
        JsonObject o = new JsonObject();
        counts.forEach(o::addProperty);
        return o;
    }
}
