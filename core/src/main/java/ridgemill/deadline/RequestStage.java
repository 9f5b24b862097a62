package ridgemill.deadline;

/** A point at which a request may have waited, or is about to start something that takes time. */
public enum RequestStage {
    /** Waiting in the admission queue. */
    LINE,
    /** About to be handed to the routing policy of its node group. */
    INTAKE,
    /** About to be sent to a node. */
    SEND,
    /** Its connection to a node has just been established. */
    CONNECT,
    /** About to be forwarded to another datacenter. */
    CROSSING
}
