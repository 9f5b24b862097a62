package ridgemill.cdn.keys;

/** The state of an operation with an operation key, as known to one voter. */
public enum KeyState {
    /** A claim was granted; its operation may be running, or may have run without a recorded answer. */
    HELD,
    /** The operation ran and its answer is recorded. */
    FINISHED,
    /** The claim was released and nothing ran under it; another claim may be granted. */
    RELEASED,
    /** Recovered replicas disagree on the holder; no claim is granted until one of the operations finishes. */
    CONFLICT
}
