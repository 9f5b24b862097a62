package ridgemill.cdn.membership;

/**
 * The position of a shared cache among all shared caches. The caches of each region together hold all objects, so a
 * limit is divided among the regions first and then among the caches of each region.
 *
 * @param region the position of its region among the regions that have shared caches
 * @param inRegion its position among the shared caches of its region
 */
public record CachePosition(FleetPosition region, FleetPosition inRegion) {

    /** The position of a single shared cache. */
    public static final CachePosition ALONE = new CachePosition(FleetPosition.ALONE, FleetPosition.ALONE);

    /**
     * The share of a number of units, see {@link FleetPosition#share}. The shares of all positions add up to the total.
     */
    public int share(int units, int index) {
        return inRegion.share(region.share(units, index), index);
    }
}
