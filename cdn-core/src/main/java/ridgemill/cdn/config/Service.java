package ridgemill.cdn.config;

/**
 * A parsed service of the configuration.
 *
 * @param name the item's name
 * @param healthPath the path of the health check
 * @param connectionCap how many connections one instance accepts from all callers together
 * @param deduplicates whether the instances deduplicate requests by operation key themselves
 * @param ratePerSecond how many requests per second all instances together may receive; 0 for no limit
 * @param version the item's version
 */
public record Service(
        String name, String healthPath, int connectionCap, boolean deduplicates, double ratePerSecond, long version) {}
