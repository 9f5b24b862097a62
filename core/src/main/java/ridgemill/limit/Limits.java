package ridgemill.limit;

import java.util.Map;

/**
 * What an operator allows. Absent rates are without limit.
 *
 * @param inFlight requests without a final answer, over all classes; at least 1
 * @param classInFlight the same for a class, by its name; classes that are not named have no limit of their own
 * @param classRate the rate of a class over all tenants, by its name
 * @param tenantRate the rate of a tenant over all classes, by its name
 * @param unknownTenant the rate of each tenant that is not named; null for none
 * @param retries the budget for clients' retries; null for none
 */
public record Limits(int inFlight, Map<String, Integer> classInFlight, Map<String, Rate> classRate,
                     Map<String, Rate> tenantRate, Rate unknownTenant, RetryBudget.Terms retries) {

    /** Everything goes through. */
    public static final Limits NONE = new Limits(Integer.MAX_VALUE, Map.of(), Map.of(), Map.of(), null, null);

    public Limits {
        classInFlight = Map.copyOf(classInFlight);
        classRate = Map.copyOf(classRate);
        tenantRate = Map.copyOf(tenantRate);
        if (inFlight < 1) {
            throw new IllegalArgumentException("fewer than one request in flight refuses everything: " + inFlight);
        }
    }
}
