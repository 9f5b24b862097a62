package ridgemill.cdn.agreement;

/**
 * The result of a configuration change.
 *
 * @param outcome the outcome
 * @param detail the item and the reason if the change was refused; the IP address of the leader if another store leads
 *     and is known; else empty
 */
public record ChangeResult(Outcome outcome, String detail) {

    /** The outcome of a change. */
    public enum Outcome {
        /** The change is decided now or was decided before. */
        CONFIRMED,
        /** Other content is stored under one of the versions; nothing was changed. */
        CONFLICT,
        /** The change would make the configuration inconsistent; nothing was changed. */
        INVALID,
        /** Another store leads; nothing was changed. */
        NOT_LEADER,
        /** No majority could be reached in time. The change may still be decided later. */
        UNKNOWN
    }

    /** The result of a decided change. */
    public static final ChangeResult CONFIRMED = new ChangeResult(Outcome.CONFIRMED, "");

    /** The result of a change that may or may not be decided. */
    public static final ChangeResult UNKNOWN = new ChangeResult(Outcome.UNKNOWN, "");

    /**
     * The result of a change that was sent to a store that does not lead.
     *
     * @param address the IP address of the leader; empty if none is known
     */
    public static ChangeResult notLeader(String address) {
        return new ChangeResult(Outcome.NOT_LEADER, address);
    }
}
