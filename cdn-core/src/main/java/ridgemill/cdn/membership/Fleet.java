package ridgemill.cdn.membership;

import java.util.List;
import java.util.TreeSet;
import java.util.function.UnaryOperator;

/**
 * The processes that share the limits of services, as the control plane reports them to an edge proxy or a shared
 * cache.
 *
 * @param proxies the position of this process among the edge proxies; that of the first one for a shared cache
 * @param caches the connected shared caches, in the order of their identifiers
 */
public record Fleet(FleetPosition proxies, List<CacheNode> caches) {

    /** A fleet of a single edge proxy. */
    public static final Fleet ALONE = new Fleet(FleetPosition.ALONE, List.of());

    public Fleet {
        caches = List.copyOf(caches);
    }

    /** The number of processes that send requests to instances. */
    public int senderCount() {
        return proxies.size() + caches.size();
    }

    /**
     * The position of a shared cache among all shared caches. It is counted even if the control plane does not report
     * it yet.
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
