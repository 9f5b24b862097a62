package ridgemill.gateway.membership.eureka;

import java.util.List;
import ridgemill.registry.RegistryReadPolicy;

/**
 * How a registry is read.
 *
 * @param urls of registries that hold the same, the preferred first, such as {@code http://127.0.0.1:8761/eureka}; numeric
 * @param apps applications whose instances are wanted, in capitals; {@link #VIP} or {@link #SECURE_VIP} before a name asks for
 *     all instances with that virtual address, of whatever application, which deltas can't
 * @param delta whether all of the registry is held and what changes is asked for, instead of each application by itself
 * @param intervalMs from the start of one poll to that of the next, in milliseconds
 * @param timeoutMs how long an answer may take, in milliseconds
 * @param resolve whether hosts of which only a name is told are looked up; without it such an instance is left out
 * @param oneReader how one proxy reads for the fleet; null where each reads for itself
 */
public record EurekaSettings(List<String> urls, List<String> apps, boolean delta, double intervalMs, double timeoutMs,
                             boolean resolve, RegistryReadPolicy oneReader) {

    /** What a virtual address has before it. */
    public static final String VIP = "vip:";
    public static final String SECURE_VIP = "svip:";

    /** With this and a registry that answers in 500 ms a change is known within 1.1 s. */
    public static final double USUAL_INTERVAL_MS = 500;
    public static final double USUAL_TIMEOUT_MS = 1000;

    public EurekaSettings {
        urls = List.copyOf(urls);
        apps = List.copyOf(apps);
        if (urls.isEmpty() || !(intervalMs > 0) || !(timeoutMs > 0)) {
            throw new IllegalArgumentException("a registry needs an address, and times greater than 0");
        }
    }
}
