package ridgemill.cdn.proxy;

import ridgemill.cdn.edge.AttemptOutcome;

/** Told how an exchange on a connection to an instance ended. */
interface ConnectionListener {

    /**
     * The exchange ended; told exactly once unless it was aborted.
     *
     * @param answer what was read of an answer, if it is whole; else null
     * @param load the load that the answer told; null if it told none
     */
    void exchangeEnded(AttemptOutcome verdict, InstanceResponse answer, String load);
}
