package ridgemill.cdn.membership;

import java.util.List;
import java.util.TreeSet;
import java.util.function.UnaryOperator;

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
    public int senderCount() {
        return proxies.size() + caches.size();
    }

    /**
     * The place of a shared cache among all, itself included where it is not told of yet.
     *
     * @param self the shared cache
     * @param regionOfZone the region of each zone
     */
    public CachePosition cachePosition(CacheNode self, UnaryOperator<String> regionOfZone) {
        String region = regionOfZone.apply(self.zone());
        TreeSet<String> regions = new TreeSet<>(List.of(region));
        TreeSet<String> inRegion = new TreeSet<>(List.of(self.id()));
        for (CacheNode cache : caches) {
            String other = regionOfZone.apply(cache.zone());
            regions.add(other);
            if (other.equals(region)) {
                inRegion.add(cache.id());
            }
        }
        return new CachePosition(
                new FleetPosition(regions.size(), regions.headSet(region).size()),
                new FleetPosition(inRegion.size(), inRegion.headSet(self.id()).size()));
    }
}
