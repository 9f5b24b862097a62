package ridgemill.cdn.membership;

import java.util.List;

/**
 * The processes that share the bounds of services, as the control plane tells an edge proxy or a shared cache.
 *
 * @param proxies the place of this process among the edge proxies; that of the first one for a shared cache
 * @param caches the shared caches that are connected, by their identifiers
 */
public record Fleet(FleetPosition proxies, List<CacheNode> caches) {

    /** One edge proxy alone. */
    public static final Fleet ALONE = new Fleet(FleetPosition.ALONE, List.of());

    public Fleet {
        caches = List.copyOf(caches);
    }

    /** How many processes send requests to instances. */
    public int senders() {
        return proxies.size() + caches.size();
    }

    /** The place of a shared cache among all; alone if it is not among them. */
    public FleetPosition cachePosition(String id) {
        for (int rank = 0; rank < caches.size(); rank++) {
            if (caches.get(rank).id().equals(id)) {
                return new FleetPosition(caches.size(), rank);
            }
        }
        return FleetPosition.ALONE;
    }
}
