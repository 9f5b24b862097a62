package ridgemill.cdn.instances;

/**
 * One incarnation of an instance of a service, as described by its heartbeats. A restarted instance has a new
 * identifier.
 *
 * @param id the identifier of this incarnation
 * @param service the service that it belongs to
 * @param address the address where it accepts requests, as {@code IP:port}
 * @param zone the zone it runs in
 * @param softwareVersion the version of its software
 * @param slots how many requests it can work on at once
 * @param state its last reported state
 * @param sequence the sequence number of the heartbeat that this record is from; higher ones are newer
 * @param coldUntilMs until when it is cold after its start and therefore slow, in Unix milliseconds; 0 if it is not
 *     cold
 */
public record Instance(
        String id,
        String service,
        String address,
        String zone,
        String softwareVersion,
        int slots,
        InstanceState state,
        long sequence,
        long coldUntilMs) {

    /** Whether this record replaces the other one of the same instance, which may be null. States only move forward. */
    public boolean supersedes(Instance other) {
        if (other == null) {
            return true;
        }
        if (state != other.state) {
            return state.compareTo(other.state) > 0;
        }
        return sequence > other.sequence;
    }

    /** This instance in the state {@link InstanceState#GONE}. */
    public Instance asGone() {
        return new Instance(
                id, service, address, zone, softwareVersion, slots, InstanceState.GONE, sequence, coldUntilMs);
    }
}
