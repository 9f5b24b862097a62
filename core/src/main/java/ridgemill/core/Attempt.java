package ridgemill.core;

/**
 * One attempt of a request, as a backend sees it when it writes it to a node.
 *
 * @param <C> the content type
 */
public interface Attempt<C> {

    /** The id of the request. */
    String requestId();

    /** The command to send. */
    Command<C> command();

    /** How long the proxy still waits for the response, in milliseconds; sent to the node. */
    double remainingMs();

    /**
     * Whether the attempt may still be answered in time and its client is still waiting. A backend checks this before
     * it writes to a connection that it had to open; an attempt that may not be written ends as {@code NEVER_SENT}.
     */
    default boolean mayBeWritten() {
        return remainingMs() > 0;
    }

    /** Whether the body is still arriving, so that it can be sent only once, on a connection of its own. */
    default boolean hasStreamingBody() {
        return false;
    }

    /** Whether the response may be passed on before it is complete. */
    default boolean supportsStreaming() {
        return false;
    }

    /** A connection was opened for the attempt; {@code ms} is how long that took, in milliseconds. */
    default void connected(double ms) { }

    /** The attempt is being written; {@code newConnection} says whether the connection was opened for it. */
    default void writeStarted(boolean newConnection) { }

    /**
     * Label, sent to the node, of the proxy and the configuration version that the request came under; null for none.
     */
    default String versionLabel() {
        return null;
    }

    /** The last byte has been passed to the operating system: from now on the node may execute the attempt. */
    default void written() { }
}
