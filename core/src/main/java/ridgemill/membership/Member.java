package ridgemill.membership;

/**
 * A node as the routing policy sees it.
 *
 * @param id of the instance
 * @param address where it is reached
 * @param state which requests may be sent to it
 * @param zone empty if none is reported
 * @param weight its share of the load relative to others
 * @param startedAtMs when this incarnation started; 0 for long ago. Another start time is another incarnation, of which
 *     nothing is known
 * @param stateSinceMs since when it has been in this state
 * @param source the source that decides on its state
 * @param reason for the state, as text for operators
 */
public record Member(String id, String address, State state, String zone, double weight, double startedAtMs,
                     double stateSinceMs, String source, String reason) {

    /** Which requests may be sent to a node. */
    public enum State {
        /** All requests. */
        IN,
        /** No new requests. */
        DRAINING,
        /** None; what is stored about the node is dropped. */
        OUT
    }

    /** Whether the routing policy sees no difference between the two. */
    boolean isSameAs(Member other) {
        return other != null && id.equals(other.id) && address.equals(other.address) && state == other.state
                && zone.equals(other.zone) && weight == other.weight && startedAtMs == other.startedAtMs;
    }
}
