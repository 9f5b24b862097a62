package ridgemill.cdn.membership;

/**
 * The place of a shared cache among all. Each region's caches hold all objects together, so a bound is divided among the
 * regions first and among the caches of each then.
 *
 * @param region its region's place among the regions that have shared caches
 * @param inRegion its place among the shared caches of its region
 */
public record CachePosition(FleetPosition region, FleetPosition inRegion) {

    /** The only one. */
    public static final CachePosition ALONE = new CachePosition(FleetPosition.ALONE, FleetPosition.ALONE);

    /** This place's part of a number of units, see {@link FleetPosition#share}; all places' add up to the whole. */
    public int share(int units, int index) {
        return inRegion.share(region.share(units, index), index);
    }
}
