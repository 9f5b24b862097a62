package ridgemill.serviceclass;

import java.util.Map;
import ridgemill.policy.Router.ServiceClass;
import ridgemill.policy.Router.Settings;

/**
 * What the platform says and no operator file may contradict.
 *
 * @param classes the platform's classes, by name; empty where no platform is known, as in a check at a desk
 * @param maxAttempts attempts that it allows; 0 where it is not known
 * @param maxBodyBytes the largest body that it carries, in bytes
 */
public record PlatformConstraints(Map<String, ServiceClass> classes, int maxAttempts, long maxBodyBytes) {

    private static final long BODY = 64 * 1024;
    /** Nothing is known but what the program itself can do. */
    public static final PlatformConstraints UNKNOWN = new PlatformConstraints(Map.of(), 0, BODY);

    public PlatformConstraints {
        classes = Map.copyOf(classes);
    }

    /** The facts in a proxy's settings. */
    public static PlatformConstraints of(Settings settings) {
        return new PlatformConstraints(settings.classes().stream().collect(java.util.stream.Collectors.toMap(ServiceClass::name,
                c -> c, (a, b) -> a)), settings.limits().maxAttempts(), BODY);
    }
}
