package ridgemill.cdn.agreement;

/**
 * What became of an order.
 *
 * @param outcome what became of it
 * @param detail the item and the reason where it was refused; the IP address of the store to ask where another one leads;
 *     else empty
 */
public record ChangeResult(Outcome outcome, String detail) {

    /** What became of an order. */
    public enum Outcome {
        /** It is decided, or was before. */
        CONFIRMED,
        /** Other content is held under one of its versions; nothing of it was taken. */
        CONFLICT,
        /** It leads to a configuration that does not hold together; nothing of it was taken. */
        INVALID,
        /** Nothing was taken; another store leads. */
        NOT_LEADER,
        /** No majority could be reached in time. It may be decided later. */
        UNKNOWN
    }

    /** The order is decided. */
    public static final ChangeResult CONFIRMED = new ChangeResult(Outcome.CONFIRMED, "");

    /** Nothing is known of the order. */
    public static final ChangeResult UNKNOWN = new ChangeResult(Outcome.UNKNOWN, "");

    /** Another store leads; empty if none is known. */
    public static ChangeResult notLeader(String address) {
        return new ChangeResult(Outcome.NOT_LEADER, address);
    }
}
