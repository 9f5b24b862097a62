package ridgemill.policy;

/**
 * Why a request was refused, given up or not sent. Codes are stable: answers, metrics and logs contain them, and alerts
 * depend on them.
 */
public enum Reason {
    /** No reason was reported. */
    UNSAID("unsaid", "nobody said why"),
    /** A limit of the operator file was reached. */
    LIMIT("limit", "a limit was reached"),
    /** More requests are open than the settings allow. */
    TOO_MANY_OPEN("too-many-open", "more requests are open than the settings allow"),
    /** The client's time has run out, or too little of it is left to start an attempt. */
    OUT_OF_TIME("out-of-time", "its time was up, or too little was left to begin anything"),
    /** Less time was left than the fastest answers take. */
    TOO_LATE("too-late", "less was left than the quickest answers take"),
    /** The client would probably have disconnected before the answer. */
    UNREAD("unread", "its client would probably have left before the answer"),
    /** Too few of the recent attempts were answered: requests are refused before they add to the load. */
    FLEET_SILENT("fleet-silent", "too few of the attempts of late were answered"),
    /** Both nodes of the key have as much work as they can do within the target latency. */
    CROWDED("crowded", "its key's nodes have as much as they can do in time"),
    /** No node was available: all are ejected, cold or tried already. */
    NO_NODE("no-node", "no node could be asked"),
    /** No fetch token was available: the origin is throttled. */
    NO_TOKEN("no-token", "the store is throttled, and its bank had no token"),
    /** The node list contains no origin, or the origin drains. */
    NO_STORE("no-store", "the list names no store that takes work"),
    /** The attempts at cache nodes failed, and another is not allowed or would not help. */
    NODES_FAILED("nodes-failed", "its attempts at cache nodes failed"),
    /** The attempt at the origin failed, and another is not allowed or would not help. */
    STORE_FAILED("store-failed", "its attempt at the store failed"),
    /** Another attempt could be executed twice, or the service class allows no more. */
    NO_REPEAT("no-repeat", "another attempt is not allowed"),
    /** It blocked a later answer on the same connection that was due. */
    HELD_UP_ANOTHER("held-up-another", "it held up another answer of its connection"),
    /** Its node group was removed from the operator file. */
    GROUP_GONE("group-gone", "its group of nodes is gone"),
    /** The router failed because of an internal error. */
    FAULT("fault", "the decisions failed");

    private final String code;
    private final String description;

    Reason(String code, String description) {
        this.code = code;
        this.description = description;
    }

    /** The stable code. */
    public String code() {
        return code;
    }

    /** The meaning in words; the operator documentation has the same text. */
    public String description() {
        return description;
    }
}
