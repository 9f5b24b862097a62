package ridgemill.gateway.back.resp;

/**
 * How to communicate with the nodes of a group.
 *
 * @param dialect the command set of the nodes
 * @param user the user name for authentication; null to authenticate with a password only
 * @param password the password; null if the nodes require none
 * @param missIsFinal whether a missing value is the final response, as there is no origin to ask
 * @param originNode the name of the node that is the origin; null if there is none
 * @param copyTtlMs how long a copy lives that the gateway stores at a plain node after a miss, in milliseconds; 0 for
 *     no copies
 * @param deduplicationWindowMs how long the origin remembers the idempotency key of a write for the gateway, in
 *     milliseconds; 0 if it is not asked to
 * @param supportsCancel whether nodes support {@code RIDGE.CANCEL id}, which has no reply: they stop that call if
 *     possible and reply to it in its place
 */
public record RespNodeConfig(Dialect dialect, String user, String password, boolean missIsFinal, String originNode,
                             double copyTtlMs, double deduplicationWindowMs, boolean supportsCancel) {

    /** Creates the configuration of nodes that do not support cancelling. */
    public RespNodeConfig(Dialect dialect, String user, String password, boolean missIsFinal, String originNode,
                          double copyTtlMs, double deduplicationWindowMs) {
        this(dialect, user, password, missIsFinal, originNode, copyTtlMs, deduplicationWindowMs, false);
    }

    /** The command set of the nodes. */
    public enum Dialect {
        /**
         * Nodes of the fleet: {@code RIDGE.WITH id ID budget MS [idempotency-key KEY] DO GET key}. They deduplicate
         * writes by idempotency key and report the cache status of a read in the attribute {@code hit}.
         */
        FLEET,
        /** Servers that support only {@code GET}, {@code SET} and {@code DEL}. */
        PLAIN
    }
}
