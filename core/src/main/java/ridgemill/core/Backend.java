package ridgemill.core;

import ridgemill.policy.Router.Outcome;

/**
 * Sends attempts to nodes. A backend never retries by itself: each exchange ends once, with the outcome that its own
 * connection showed.
 *
 * @param <C> the content type
 */
public interface Backend<C> {

    /** Is notified of the progress of an exchange, possibly before {@link Backend#send} returns. */
    interface Listener<C> {

        /** The exchange has ended; {@code response} is null if no complete response arrived. */
        void ended(Outcome outcome, NodeResponse<C> response);

        /**
         * A successful response has started, and its content arrives over time. {@link #ended} is called without a
         * response when it is complete or has broken off. Called only if {@link Attempt#supportsStreaming}. Returns
         * whether the response is accepted.
         */
        default boolean responseStarted(NodeResponse<C> response) {
            return false;
        }
    }

    /** An exchange with a node that is in progress. */
    interface Exchange {

        /** Cancels the exchange: it ends as cancelled unless it has ended. */
        void cancel();

        /**
         * Cancels the exchange like {@link #cancel}, but lets it run to its end if that saves the node a new
         * connection; its response is then dropped.
         */
        default void detach() {
            cancel();
        }
    }

    /** Starts an exchange with a node; it times out after {@code timeoutMs}. */
    Exchange send(String node, Attempt<C> attempt, double timeoutMs, Listener<C> listener);

    /** Sends a health probe to a node; the listener gets an outcome without a response. */
    void probe(String node, double timeoutMs, Listener<C> listener);

    /** Closes the idle connections to a node. */
    void closeIdleConnections(String node);
}
