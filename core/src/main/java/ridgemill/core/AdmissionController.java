package ridgemill.core;

import ridgemill.policy.Router.Effect;
import ridgemill.policy.Router.ServiceClass;
import ridgemill.route.RouteQuery;

/**
 * Stands before the decisions on every front: says which class a request is of and how long it has, or that it goes no
 * further. Called from the thread that owns the dispatcher.
 */
public interface AdmissionController {

    /**
     * What a front knows of a request.
     *
     * @param id its own, not open yet
     * @param query by which its route is found
     * @param requestedClass the class that it names itself; null where it names none
     * @param retry whether it is marked as a client's retry
     * @param bodyBytes the size of its body
     * @param budgetMs how long its client still waits
     */
    record AdmissionRequest(String id, RouteQuery query, String requestedClass, boolean retry, long bodyBytes, double budgetMs) { }

    /** What becomes of it. */
    sealed interface Decision { }

    /**
     * It goes on, as one of this class and with so much time. Where it waits in line, {@link AdmissionController#nextQueued} names it at its
     * turn or {@link AdmissionController#withdraw} is owed for it; after its turn, or where it waits for none, {@link AdmissionController#requestEnded} is.
     *
     * @param group of the nodes that are asked; the empty text for the platform's
     * @param maxQueueMs how long it may wait in line; 0 where it goes on at once
     * @param displacedId another that lost its place in line for it and must be turned away; null if none did
     */
    record Admitted(ServiceClass service, double budgetMs, String group, double maxQueueMs, String displacedId) implements Decision {

        /** Whether it must come with an idempotency key: without one its repeat would not be dropped, and it may be sent again. */
        public boolean requiresIdempotencyKey(boolean write) {
            return write && service.effect() == Effect.KEYED;
        }

        /** One that goes on at once, to the platform's nodes. */
        public Admitted(ServiceClass service, double budgetMs) {
            this(service, budgetMs, "", 0, null);
        }
    }

    /** A limit turns it away; nothing ran. {@code retryAfterMs} follows from the limit. */
    record Rejected(String limit, double retryAfterMs) implements Decision { }

    /** It is no request that anyone could serve. */
    record Invalid(InvalidReason reason) implements Decision { }

    /** Why a request is unfit. */
    enum InvalidReason { UNKNOWN_CLASS, TOO_LARGE }

    /** Decides on a request. */
    Decision admit(double nowMs, AdmissionRequest arrival);

    /** One that went on, of this class, has its final answer or its client has left. */
    void requestEnded(double nowMs, String service);

    /** Names one in line whose turn it is, by its id; null where none has it. */
    default String nextQueued() {
        return null;
    }

    /**
     * One in line leaves it without its turn, if it has not left it already; returns when one like it may come back, in
     * milliseconds.
     */
    default double withdraw(double nowMs, String id) {
        return 0;
    }

    /** How many connections one client's address may have. */
    default int maxConnectionsPerClient() {
        return Integer.MAX_VALUE;
    }
}
