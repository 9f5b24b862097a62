package ridgemill.cdn.proxy;

import ridgemill.cdn.edge.AttemptOutcome;

/** Receives the outcome of an exchange on a connection to an instance. */
interface ConnectionListener {

    /** The head of a response has arrived whose body takes its time: it is large, or waits for memory. */
    void responseBegun();

    /**
     * The exchange ended; called exactly once unless it was aborted.
     *
     * @param response the response if it was read completely, else null
     * @param load the value of the response's load header; null if there is none
     */
    void exchangeEnded(AttemptOutcome outcome, InstanceResponse response, String load);
}
