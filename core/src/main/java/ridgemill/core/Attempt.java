package ridgemill.core;

/** One attempt of a request, as a back sees it when it is about to write it to a node. */
public interface Attempt<C> {

    /** The id of its request. */
    String requestId();

    /** What is asked for. */
    Command<C> command();

    /** How long the proxy will wait for the answer from now on, in milliseconds; a node is told this. */
    double remainingMs();
}
