package ridgemill.cdn.instances;

/**
 * One life of one copy of a service, as its heartbeats describe it. A restarted copy has a new identifier.
 *
 * @param id the identifier of this life
 * @param service the service that it belongs to
 * @param address where it takes requests, as {@code IP:port}
 * @param zone the zone it runs in
 * @param softwareVersion the version of its software
 * @param slots how many requests it works on at once
 * @param state what it last said of itself
 * @param sequence the number of the heartbeat this record is from; higher ones are newer
 * @param coldUntilMs until when it is slow after its start, in Unix milliseconds; 0 if it is not
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

    /** Whether this record replaces the other one of the same instance. States never go back. */
    public boolean supersedes(Instance other) {
        if (other == null) {
            return true;
        }
        if (state != other.state) {
            return state.compareTo(other.state) > 0;
        }
        return sequence > other.sequence;
    }

    /** This instance after it has left. */
    public Instance asGone() {
        return new Instance(
                id, service, address, zone, softwareVersion, slots, InstanceState.GONE, sequence, coldUntilMs);
    }
}
