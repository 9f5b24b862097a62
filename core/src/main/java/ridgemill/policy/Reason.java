package ridgemill.policy;

/**
 * Why a request was turned away, given up on or not sent. Names are stable: answers, counts and logs tell them, and alerts are
 * written on them.
 */
public enum Reason {
    /** Nobody said why. */
    UNSAID("unsaid", "nobody said why"),
    /** A limit of the operator file was reached. */
    LIMIT("limit", "a limit was reached"),
    /** More requests are open than the settings allow. */
    TOO_MANY_OPEN("too-many-open", "more requests are open than the settings allow"),
    /** Its client's time was up, or too little of it was left to begin anything. */
    OUT_OF_TIME("out-of-time", "its time was up, or too little was left to begin anything"),
    /** Less was left than the quickest answers take. */
    TOO_LATE("too-late", "less was left than the quickest answers take"),
    /** Its client would probably have left before the answer. */
    UNREAD("unread", "its client would probably have left before the answer"),
    /** Too few of the attempts of late were answered: requests are turned away before they add to that. */
    FLEET_SILENT("fleet-silent", "too few of the attempts of late were answered"),
    /** Both of its key's nodes have as much as they can do within the aim. */
    CROWDED("crowded", "its key's nodes have as much as they can do in time"),
    /** No node could be asked: all are spared, cold or have been tried. */
    NO_NODE("no-node", "no node could be asked"),
    /** The bank of fetches had no token: the store is throttled. */
    NO_TOKEN("no-token", "the store is throttled, and its bank had no token"),
    /** The list names no store, or it drains. */
    NO_STORE("no-store", "the list names no store that takes work"),
    /** The cache nodes' attempts failed, and another would not be allowed or would not help. */
    NODES_FAILED("nodes-failed", "its attempts at cache nodes failed"),
    /** The store's attempt failed, and another is not allowed or would not help. */
    STORE_FAILED("store-failed", "its attempt at the store failed"),
    /** Another attempt could take effect twice, or its class allows no more. */
    NO_REPEAT("no-repeat", "another attempt is not allowed"),
    /** An answer behind it on its connection was due. */
    HELD_UP_ANOTHER("held-up-another", "it held up another answer of its connection"),
    /** Its group of nodes was taken out of the operator file. */
    GROUP_GONE("group-gone", "its group of nodes is gone"),
    /** The decisions failed; a fault of ours. */
    FAULT("fault", "the decisions failed");

    private final String code;
    private final String description;

    Reason(String word, String text) {
        this.code = word;
        this.description = text;
    }

    /** The stable name. */
    public String code() {
        return code;
    }

    /** What it means, for people. */
    public String description() {
        return description;
    }
}
