package ridgemill.limit;

import java.util.Map;

/**
 * What an operator allows. Absent rates are without limit.
 *
 * @param inFlight requests without a final answer, over all classes, that are not in line; at least 1
 * @param classInFlight the same for a class, by its name, with those in line; classes that are not named have no limit
 *     of their own
 * @param classRate the rate of a class over all tenants, by its name
 * @param tenantRate the rate of a tenant over all classes, by its name
 * @param unknownTenantRate the rate of each tenant that is not named; null for none
 * @param retryBudget the budget for clients' retries; null for none
 * @param queue where requests past {@code inFlight} wait; null where they are refused at once
 * @param connectionsPerClient connections from one address; at least 1
 */
public record Limits(int inFlight, Map<String, Integer> classInFlight, Map<String, Rate> classRate,
                     Map<String, Rate> tenantRate, Rate unknownTenantRate, RetryBudget.Config retryBudget, Queue queue,
                     int connectionsPerClient) {

    /**
     * A queue before the limit of requests in flight.
     *
     * @param capacity how many may wait, at least 1
     * @param maxWaitMs for how long each may at most, greater than 0
     */
    public record Queue(int capacity, double maxWaitMs) {

        public Queue {
            if (capacity < 1 || !(maxWaitMs > 0)) {
                throw new IllegalArgumentException("a queue has at least 1 place and a wait greater than 0");
            }
        }
    }

    /** Everything goes through. */
    public static final Limits NONE = new Limits(Integer.MAX_VALUE, Map.of(), Map.of(), Map.of(), null, null);

    /** Limits without a queue and without one on connections. */
    public Limits(int inFlight, Map<String, Integer> classInFlight, Map<String, Rate> classRate,
                  Map<String, Rate> tenantRate, Rate unknownTenant, RetryBudget.Config retries) {
        this(inFlight, classInFlight, classRate, tenantRate, unknownTenant, retries, null, Integer.MAX_VALUE);
    }

    public Limits {
        classInFlight = Map.copyOf(classInFlight);
        classRate = Map.copyOf(classRate);
        tenantRate = Map.copyOf(tenantRate);
        if (inFlight < 1) {
            throw new IllegalArgumentException("fewer than one request in flight refuses everything: " + inFlight);
        }
        if (connectionsPerClient < 1) {
            throw new IllegalArgumentException("fewer than one connection refuses everything: " + connectionsPerClient);
        }
    }

    /** The same with a queue. */
    public Limits withQueue(Queue there) {
        return new Limits(inFlight, classInFlight, classRate, tenantRate, unknownTenantRate, retryBudget, there,
                connectionsPerClient);
    }
}
