package ridgemill.limit;

import java.util.Map;

/**
 * The admission limits that an operator configures. A rate that is absent is unlimited.
 *
 * @param inFlight requests without a final response, over all classes, not counting queued ones; at least 1
 * @param classInFlight the same for a class by its name, counting queued ones; a class that is not in the map has no
 *     limit of its own
 * @param classRate the rate of a class over all tenants, by its name
 * @param tenantRate the rate of a tenant over all classes, by its name
 * @param unknownTenantRate the rate of each tenant that is not named; null for none
 * @param retryBudget the budget for clients' retries; null for none
 * @param queue where requests beyond {@code inFlight} wait; null if they are refused at once
 * @param connectionsPerClient connections from one address; at least 1
 */
public record Limits(int inFlight, Map<String, Integer> classInFlight, Map<String, Rate> classRate,
                     Map<String, Rate> tenantRate, Rate unknownTenantRate, RetryBudget.Config retryBudget, Queue queue,
                     int connectionsPerClient) {

    /**
     * The queue for requests beyond the limit of requests in flight.
     *
     * @param capacity how many requests may wait, at least 1
     * @param maxWaitMs how long each may wait, greater than 0
     */
    public record Queue(int capacity, double maxWaitMs) {

        public Queue {
            if (capacity < 1 || !(maxWaitMs > 0)) {
                throw new IllegalArgumentException("a queue needs a capacity of at least 1 and a wait greater than 0");
            }
        }
    }

    /** No limits: every request is admitted. */
    public static final Limits NONE = new Limits(Integer.MAX_VALUE, Map.of(), Map.of(), Map.of(), null, null);

    /** Limits without a queue and without a limit on connections. */
    public Limits(int inFlight, Map<String, Integer> classInFlight, Map<String, Rate> classRate,
                  Map<String, Rate> tenantRate, Rate unknownTenant, RetryBudget.Config retries) {
        this(inFlight, classInFlight, classRate, tenantRate, unknownTenant, retries, null, Integer.MAX_VALUE);
    }

    public Limits {
        classInFlight = Map.copyOf(classInFlight);
        classRate = Map.copyOf(classRate);
        tenantRate = Map.copyOf(tenantRate);
        if (inFlight < 1) {
            throw new IllegalArgumentException("the limit of requests in flight must be at least 1: " + inFlight);
        }
        if (connectionsPerClient < 1) {
            throw new IllegalArgumentException("the limit of connections from one client must be at least 1: "
                    + connectionsPerClient);
        }
    }

    /** These limits with a queue. */
    public Limits withQueue(Queue newQueue) {
        return new Limits(inFlight, classInFlight, classRate, tenantRate, unknownTenantRate, retryBudget, newQueue,
                connectionsPerClient);
    }
}
