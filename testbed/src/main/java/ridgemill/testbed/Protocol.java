package ridgemill.testbed;

/** What stand-ins and clients speak. */
public enum Protocol {
    /** HTTP/1.1 with the fleet's headers. */
    HTTP,
    /** RESP3 with {@code RIDGE.WITH}. */
    RESP
}
