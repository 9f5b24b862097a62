package ridgemill.core;

import ridgemill.policy.Router.Outcome;

/**
 * Carries attempts to nodes. A back sends nothing a second time by itself: each exchange ends once, with the outcome
 * that its own connection showed.
 */
public interface Back<C> {

    /** Takes how an exchange ended. It may be called before {@link Back#send} returns. */
    interface Done<C> {

        /** {@code answer} is null where no whole answer came. */
        void ended(Outcome outcome, Answer<C> answer);

        /**
         * A good answer has begun, whose content comes by and by; {@link #ended} follows when it has ended or broken off, without
         * an answer. Called only where {@link Attempt#takesParts}. Returns whether anybody takes it.
         */
        default boolean begun(Answer<C> answer) {
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
        default void leave() {
            cancel();
        }
    }

    /** Starts an exchange with a node that is given up after {@code timeoutMs}. */
    Exchange send(String node, Attempt<C> attempt, double timeoutMs, Done<C> done);

    /** Asks a node whether it lives; {@code done} gets no answer with the outcome. */
    void probe(String node, double timeoutMs, Done<C> done);

    /** Closes the idle connections to a node. */
    void closeIdle(String node);
}
