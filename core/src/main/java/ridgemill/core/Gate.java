package ridgemill.core;

import ridgemill.policy.Router.ServiceClass;
import ridgemill.route.Query;

/**
 * Stands before the decisions on every front: says which class a request is of and how long it has, or that it goes no
 * further. Called from the thread that owns the dispatcher.
 */
public interface Gate {

    /**
     * What a front knows of a request.
     *
     * @param query by which its route is found
     * @param named the class that it names itself; null where it names none
     * @param retry whether it is marked as a client's retry
     * @param bodyBytes the size of its body
     * @param budgetMs how long its client still waits
     */
    record Arrival(Query query, String named, boolean retry, long bodyBytes, double budgetMs) { }

    /** What becomes of it. */
    sealed interface Entry { }

    /** It goes on, as one of this class and with so much time; {@link Gate#ended} is owed for it. */
    record Go(ServiceClass service, double budgetMs) implements Entry { }

    /** A limit turns it away; nothing ran. {@code retryAfterMs} follows from the limit. */
    record Refuse(String limit, double retryAfterMs) implements Entry { }

    /** It is no request that anyone could serve. */
    record Unfit(Reason reason) implements Entry { }

    /** Why a request is unfit. */
    enum Reason { UNKNOWN_CLASS, TOO_LARGE }

    /** Decides on a request. */
    Entry enter(double nowMs, Arrival arrival);

    /** One that went on, of this class, has its final answer or its client has left. */
    void ended(String service);
}
