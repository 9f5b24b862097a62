package ridgemill.monitoring;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import ridgemill.core.RequestCounters;
import ridgemill.core.RequestCounters.RequestResult;

/**
 * The metrics of a proxy, counted since its start.
 *
 * @param served requests served, by service class
 * @param refused requests refused, by service class
 * @param failed requests that failed, by service class
 * @param sentAttempts attempts whose last byte was written to a node
 * @param inProgress accepted requests without a final answer
 * @param knownNodes number of cache nodes in the node list
 * @param excludedNodes number of those that currently get no requests
 * @param extraCounts counts of optional features, by the names that operators see
 */
public record ProxyMetrics(Map<String, Long> served, Map<String, Long> refused, Map<String, Long> failed,
                           long sentAttempts, int inProgress, int knownNodes, int excludedNodes,
                           Map<String, Long> extraCounts) {

    /**
     * Collects the metrics.
     *
     * @param classes the service classes; each has its counts, 0 if it got no request
     * @param nodes ids of the cache nodes in the node list
     * @param excluded whether the router currently excludes a node
     * @param extraCounts counts of optional features
     */
    public static ProxyMetrics of(RequestCounters counters, Collection<String> classes, int inProgress,
                                  Collection<String> nodes, Predicate<String> excluded, Map<String, Long> extraCounts) {
        return new ProxyMetrics(countByClass(counters, classes, RequestResult.SERVED),
                countByClass(counters, classes, RequestResult.REFUSED),
                countByClass(counters, classes, RequestResult.FAILED), counters.attemptsWritten(), inProgress,
                nodes.size(), (int) nodes.stream().filter(excluded).count(), extraCounts);
    }

    private static Map<String, Long> countByClass(RequestCounters counters, Collection<String> classes,
                                                  RequestResult result) {
        Map<String, Long> counts = new TreeMap<>();
        classes.forEach(c -> counts.put(c, counters.count(c, result)));
        return counts;
    }
}
