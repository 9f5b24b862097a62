package ridgemill.core;

/** One attempt of a request, as a back sees it when it is about to write it to a node. */
public interface Attempt<C> {

    /** The id of its request. */
    String requestId();

    /** What is asked for. */
    Command<C> command();

    /** How long the proxy will wait for the answer from now on, in milliseconds; a node is told this. */
    double remainingMs();

    /**
     * Whether it may still be answered in time, and somebody waits for that. A back asks this before it writes to a connection
     * that it had to open; one that may not be written ends as {@code NEVER_SENT}.
     */
    default boolean mayBeWritten() {
        return remainingMs() > 0;
    }

    /** Whether its content is still coming, so that it can be carried once, on a connection of its own. */
    default boolean hasStreamingBody() {
        return false;
    }

    /** Whether an answer may be given on before it is whole. */
    default boolean supportsStreaming() {
        return false;
    }

    /** A connection was opened for it, which took so long, in milliseconds. */
    default void connected(double ms) { }

    /** It is being written, on a connection that was opened for it or on one that was there. */
    default void writeStarted(boolean fresh) { }

    /** What its node is to be told of who sends it, and under which version; null for nothing. */
    default String versionLabel() {
        return null;
    }

    /** Its last byte is with the system: from now on the node may run it. */
    default void written() { }
}
