package ridgemill.gateway.back.resp;

/**
 * How a group's nodes are spoken to.
 *
 * @param dialect what they understand
 * @param user by which the gateway shows who it is; null with a password alone
 * @param password null where none is asked for
 * @param missIsFinal whether a node that has no value has given the answer: there is no store to ask
 * @param originNode the node that is the store, by name; null where there is none
 * @param copyTtlMs for how long a copy stays that the gateway stores at a plain node after a miss, in milliseconds; 0 for
 *     no copies
 * @param deduplicationWindowMs for how long the store remembers a keyed write's key on the gateway's behalf, in milliseconds; 0 where it
 *     is not asked to
 * @param supportsCancel whether nodes understand {@code RIDGE.CANCEL id}, which has no reply: they stop that call if they can, and
 *     answer it in its place
 */
public record RespNodeConfig(Dialect dialect, String user, String password, boolean missIsFinal, String originNode, double copyTtlMs,
                        double deduplicationWindowMs, boolean supportsCancel) {

    /** Nodes that understand no cancel. */
    public RespNodeConfig(Dialect dialect, String user, String password, boolean missIsAnswer, String store, double fillMs,
                     double guardMs) {
        this(dialect, user, password, missIsAnswer, store, fillMs, guardMs, false);
    }

    /** What nodes understand beside the commands themselves. */
    public enum Dialect {
        /**
         * Nodes of the fleet: {@code RIDGE.WITH id ID budget MS [idempotency-key KEY] DO GET key}. They drop a keyed
         * write's repeats, and tell how a read went by the attribute {@code hit}.
         */
        FLEET,
        /** Servers that know {@code GET}, {@code SET} and {@code DEL} alone. */
        PLAIN
    }
}
