package ridgemill.core;

import ridgemill.policy.Router.Outcome;

/**
 * Carries attempts to nodes. A back sends nothing a second time by itself: each exchange ends once, with the outcome
 * that its own connection showed.
 */
public interface Backend<C> {

    /** Takes how an exchange ended. It may be called before {@link Backend#send} returns. */
    interface Listener<C> {

        /** {@code answer} is null where no whole answer came. */
        void ended(Outcome outcome, NodeResponse<C> answer);

        /**
         * A good answer has begun, whose content comes by and by; {@link #ended} follows when it has ended or broken off, without
         * an answer. Called only where {@link Attempt#supportsStreaming}. Returns whether anybody takes it.
         */
        default boolean responseStarted(NodeResponse<C> answer) {
            return false;
        }
    }

    /** An attempt that is out. */
    interface Exchange {

        /** Gives it up: ends it as cancelled unless it has ended. */
        void cancel();

        /**
         * Gives it up as {@link #cancel} does, but lets it run to its end where that spares the node a new connection: its
         * answer is dropped when it comes.
         */
        default void detach() {
            cancel();
        }
    }

    /** Starts an exchange with a node that is given up after {@code timeoutMs}. */
    Exchange send(String node, Attempt<C> attempt, double timeoutMs, Listener<C> done);

    /** Asks a node whether it lives; {@code done} gets no answer with the outcome. */
    void probe(String node, double timeoutMs, Listener<C> done);

    /** Closes the idle connections to a node. */
    void closeIdleConnections(String node);
}
