package ridgemill.serviceclass;

import java.util.Map;
import ridgemill.policy.Router.ServiceClass;
import ridgemill.policy.Router.Settings;

/**
 * Settings of the platform that an operator file must not contradict.
 *
 * @param classes the platform's service classes by name; empty if no platform is known, such as in an offline check
 * @param maxAttempts attempts per request that the platform allows; 0 if unknown
 * @param maxBodyBytes largest request body that the proxy forwards
 */
public record PlatformConstraints(Map<String, ServiceClass> classes, int maxAttempts, long maxBodyBytes) {

    private static final long MAX_BODY_BYTES = 64 * 1024;
    /** Only the limits of the program itself are known. */
    public static final PlatformConstraints UNKNOWN = new PlatformConstraints(Map.of(), 0, MAX_BODY_BYTES);

    /** Copies the classes. */
    public PlatformConstraints {
        classes = Map.copyOf(classes);
    }

    /** The constraints in a proxy's settings; of classes with the same name the first one counts. */
    public static PlatformConstraints of(Settings settings) {
        return new PlatformConstraints(settings.classes().stream().collect(
                java.util.stream.Collectors.toMap(ServiceClass::name, c -> c, (first, second) -> first)),
                settings.limits().maxAttempts(), MAX_BODY_BYTES);
    }
}
