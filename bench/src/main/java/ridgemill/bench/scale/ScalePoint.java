package ridgemill.bench.scale;

/**
 * One measured point.
 *
 * @param series the knob that was turned, with what was held
 * @param value where the knob stood
 * @param windowS how long was measured, in seconds
 * @param conditions what had to be borne
 * @param registry what a registry used
 * @param store what a configuration store used
 * @param proxy what the real edge proxy used, which had no requests
 * @param hollow what passed over the links of a hollow edge proxy
 * @param change from the call of a configuration change to the last edge proxy's acknowledgement to the last store
 * @param purge the same of a purge
 * @param key from the claim of a key to its grant by a majority
 * @param state from the call that tells of an instance's coming or leaving to its answer
 * @param benchCores cores that the measurement's own process used
 */
public record ScalePoint(
        String series,
        double value,
        double windowS,
        Conditions conditions,
        RoleCost registry,
        RoleCost store,
        RoleCost proxy,
        Traffic hollow,
        Times change,
        Times purge,
        Times key,
        Times state,
        double benchCores) {

    /** The same measurement as the point of another series. */
    ScalePoint in(String otherSeries, double otherValue) {
        return new ScalePoint(
                otherSeries,
                otherValue,
                windowS,
                conditions,
                registry,
                store,
                proxy,
                hollow,
                change,
                purge,
                key,
                state,
                benchCores);
    }
}
