package ridgemill.membership;

/**
 * A node as the decisions are to see it.
 *
 * @param id its own
 * @param address where it is reached
 * @param state what may be sent to it
 * @param zone empty where none is told
 * @param weight its share of work against others
 * @param startedAtMs when this incarnation started; 0 for long ago. Another start time is another incarnation, of which
 *     nothing is known
 * @param stateSinceMs since when it has been in this state
 * @param source the source whose word decides
 * @param reason in words, for operators
 */
public record Member(String id, String address, State state, String zone, double weight, double startedAtMs, double stateSinceMs,
                     String source, String reason) {

    /** What may be sent to a node. */
    public enum State {
        /** Whatever there is. */
        IN,
        /** Nothing new. */
        DRAINING,
        /** Nothing, and what is kept of it goes. */
        OUT
    }

    /** Whether the decisions would see the same. */
    boolean isSameAs(Member o) {
        return o != null && id.equals(o.id) && address.equals(o.address) && state == o.state && zone.equals(o.zone)
                && weight == o.weight && startedAtMs == o.startedAtMs;
    }
}
