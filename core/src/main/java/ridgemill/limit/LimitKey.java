package ridgemill.limit;

/**
 * A limit that several loops of one process keep together.
 *
 * @param kind what it bounds
 * @param name of the class or tenant; empty where the kind has but one
 */
public record LimitKey(Kind kind, String name) {

    /** What a limit bounds. */
    public enum Kind {
        /** Requests without a final answer, over all classes. */
        IN_FLIGHT,
        /** The same of one class. */
        CLASS_IN_FLIGHT,
        /** The rate of a class. */
        CLASS_RATE,
        /** The rate of a tenant that the file names. */
        TENANT_RATE,
        /** The rate of a tenant that it does not name. */
        UNKNOWN_TENANT;

        /** Whether it bounds how many there are at once, and not how many come. */
        public boolean isCount() {
            return this == IN_FLIGHT || this == CLASS_IN_FLIGHT;
        }
    }

    /** The one limit on all requests in flight. */
    public static final LimitKey ALL_IN_FLIGHT = new LimitKey(Kind.IN_FLIGHT, "");

    /** What a whole of limits says of it: how many at once; 0 where it says nothing. */
    static int inFlightLimit(Limits limits, LimitKey key) {
        return switch (key.kind()) {
            case IN_FLIGHT -> limits.inFlight();
            case CLASS_IN_FLIGHT -> limits.classInFlight().getOrDefault(key.name(), 0);
            default -> 0;
        };
    }

    /** What a whole of limits says of it: at which rate; null where it says nothing. */
    static Rate rate(Limits limits, LimitKey key) {
        return switch (key.kind()) {
            case CLASS_RATE -> limits.classRate().get(key.name());
            case TENANT_RATE -> limits.tenantRate().get(key.name());
            case UNKNOWN_TENANT -> limits.tenantRate().containsKey(key.name()) ? null : limits.unknownTenantRate();
            default -> null;
        };
    }

    /** What a loop has of a count before anybody lent it more or less. */
    static int evenCount(int whole, int loop, int loops) {
        return whole / loops + (loop < whole % loops ? 1 : 0);
    }

    /** What a loop has of a rate when it has this part of it. */
    static Rate fractionOf(Rate whole, double part) {
        // A bucket that holds less than one lets nobody through; so a burst below the loops' number grows to it.
        return new Rate(whole.perSecond() * part, Math.max(1, whole.burst() * part));
    }
}
