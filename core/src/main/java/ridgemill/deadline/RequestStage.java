package ridgemill.deadline;

/** Where a request may wait, or begin something that takes time. */
public enum RequestStage {
    /** In line for its turn. */
    LINE,
    /** Before its group's decisions. */
    INTAKE,
    /** About to be sent to a node. */
    SEND,
    /** Its connection to a node has come up. */
    CONNECT,
    /** About to cross to another hall. */
    CROSSING
}
