package ridgemill.monitoring;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import ridgemill.core.RequestCounters;
import ridgemill.core.RequestCounters.RequestResult;

/**
 * What operators read of a proxy, counted since its start.
 *
 * @param served requests served, by class
 * @param refused requests refused, by class
 * @param failed requests that failed, by class
 * @param sentAttempts attempts whose last byte was written to a node
 * @param inProgress requests that were taken and have no final answer yet
 * @param knownNodes cache nodes that the list names
 * @param excludedNodes those of them that get nothing now
 * @param extraCounts counts of what is on beside all this, by the names that operators know
 */
public record ProxyMetrics(Map<String, Long> served, Map<String, Long> refused, Map<String, Long> failed, long sentAttempts,
                      int inProgress, int knownNodes, int excludedNodes, Map<String, Long> extraCounts) {

    /**
     * Reads them off.
     *
     * @param classes each has its figures, 0 where no request of it came
     * @param nodes the cache nodes that the list names
     * @param avoided whether the decisions avoid one
     * @param more counts of what is on beside
     */
    public static ProxyMetrics of(RequestCounters tally, Collection<String> classes, int inProgress, Collection<String> nodes,
                             Predicate<String> avoided, Map<String, Long> more) {
        return new ProxyMetrics(by(tally, classes, RequestResult.SERVED), by(tally, classes, RequestResult.REFUSED), by(tally, classes, RequestResult.FAILED),
                tally.attemptsWritten(), inProgress, nodes.size(), (int) nodes.stream().filter(avoided).count(), more);
    }

    private static Map<String, Long> by(RequestCounters tally, Collection<String> classes, RequestResult end) {
        Map<String, Long> counts = new TreeMap<>();
        classes.forEach(c -> counts.put(c, tally.count(c, end)));
        return counts;
    }
}
