package ridgemill.limit;

/**
 * Identifies a limit that the event loops of one process enforce together.
 *
 * @param kind what it limits
 * @param name the class or tenant; empty if there is only one limit of the kind
 */
public record LimitKey(Kind kind, String name) {

    /** What a limit applies to. */
    public enum Kind {
        /** Requests without a final response, over all classes. */
        IN_FLIGHT,
        /** Requests without a final response, of one class. */
        CLASS_IN_FLIGHT,
        /** The rate of a class. */
        CLASS_RATE,
        /** The rate of a tenant that the configuration names. */
        TENANT_RATE,
        /** The rate of a tenant that the configuration does not name. */
        UNKNOWN_TENANT;

        /** Whether it limits how many requests are in flight, as opposed to a rate. */
        public boolean isCount() {
            return this == IN_FLIGHT || this == CLASS_IN_FLIGHT;
        }
    }

    /** The limit on all requests in flight. */
    public static final LimitKey ALL_IN_FLIGHT = new LimitKey(Kind.IN_FLIGHT, "");

    /** The number of requests that may be in flight under this limit; 0 if the configuration has no such limit. */
    static int inFlightLimit(Limits limits, LimitKey key) {
        return switch (key.kind()) {
            case IN_FLIGHT -> limits.inFlight();
            case CLASS_IN_FLIGHT -> limits.classInFlight().getOrDefault(key.name(), 0);
            default -> 0;
        };
    }

    /** The rate of this limit; null if the configuration has no such limit. */
    static Rate rate(Limits limits, LimitKey key) {
        return switch (key.kind()) {
            case CLASS_RATE -> limits.classRate().get(key.name());
            case TENANT_RATE -> limits.tenantRate().get(key.name());
            case UNKNOWN_TENANT -> limits.tenantRate().containsKey(key.name()) ? null : limits.unknownTenantRate();
            default -> null;
        };
    }

    /** A loop's even share of a limit on requests in flight, which it has before anything is granted. */
    static int evenCount(int whole, int loop, int loops) {
        return whole / loops + (loop < whole % loops ? 1 : 0);
    }

    /** A loop's rate when it has this fraction of the whole. */
    static Rate fractionOf(Rate whole, double fraction) {
        // A bucket of less than one token admits nothing, so a burst below the number of loops grows to that number.
        return new Rate(whole.perSecond() * fraction, Math.max(1, whole.burst() * fraction));
    }
}
