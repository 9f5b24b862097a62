package ridgemill.cdn.config;

/**
 * A service of the configuration in typed form.
 *
 * @param name the item's name
 * @param healthPath the path of its health check
 * @param connectionCap how many connections one instance accepts from all callers together
 * @param deduplicates whether its instances keep their own record of operation keys
 * @param ratePerSecond how many requests a second all its instances together may receive; 0 where there is no bound
 * @param version the item's version
 */
public record Service(
        String name, String healthPath, int connectionCap, boolean deduplicates, double ratePerSecond, long version) {}
