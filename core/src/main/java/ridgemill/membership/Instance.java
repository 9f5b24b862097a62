package ridgemill.membership;

/**
 * What one source reports about one instance.
 *
 * @param id unique among all sources; the same after a restart
 * @param address its address and port as text
 * @param status as the source reports it
 * @param zone empty if none is reported
 * @param weight its share of the load relative to others, greater than 0
 * @param startedAtMs when it started, Unix time in milliseconds; 0 if that is long ago or not reported
 * @param changedAtMs when the record was last changed, by the instance's own clock (Eureka's lastDirtyTimestamp); 0 if
 *     that is not reported
 */
public record Instance(String id, String address, Status status, String zone, double weight, double startedAtMs,
                       long changedAtMs) {

    public Instance {
        if (id == null || id.isEmpty() || address == null || status == null || zone == null) {
            throw new IllegalArgumentException("an instance needs an id, an address, a status and a zone");
        }
        if (!(weight > 0) || Double.isInfinite(weight)) {
            throw new IllegalArgumentException("a weight must be finite and greater than 0: " + weight);
        }
    }
}
