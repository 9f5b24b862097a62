package ridgemill.cdn.keys;

/** How far a keyed operation is, as one voter knows it. */
public enum KeyState {
    /** A claim was granted; its operation may be running, or may have run without a recorded answer. */
    HELD,
    /** The operation ran and its answer is recorded. */
    FINISHED,
    /** The claim was given back and nothing ran under it; another claim may be granted. */
    RELEASED,
    /** Recovered replicas disagreed on the holder: nobody is granted the key until one of them finishes. */
    CONFLICT
}
