package ridgemill.cdn.membership;

/**
 * The place of a shared cache among all. Each region's caches hold all objects together, so a bound is divided among the
 * regions first and among the caches of each then.
 *
 * @param region its region's place among the regions that have shared caches
 * @param inRegion its place among the shared caches of its region
 */
public record CachePlace(FleetPosition region, FleetPosition inRegion) {

    /** The only one. */
    public static final CachePlace ALONE = new CachePlace(FleetPosition.ALONE, FleetPosition.ALONE);

    /** This place's part of a number of units, see {@link FleetPosition#part}; all places' add up to the whole. */
    public int part(int units, int index) {
        return inRegion.part(region.part(units, index), index);
    }
}
