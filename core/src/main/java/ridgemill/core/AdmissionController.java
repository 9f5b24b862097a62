package ridgemill.core;

import ridgemill.policy.Router.Effect;
import ridgemill.policy.Router.ServiceClass;
import ridgemill.route.RouteQuery;

/**
 * Decides for every frontend, before a request is routed, on the request's class and time budget, or rejects it. Called
 * from the thread that owns the dispatcher.
 */
public interface AdmissionController {

    /**
     * A request as a frontend presents it for admission.
     *
     * @param id id of the request, not in use by an open request
     * @param query attributes by which its route is found
     * @param requestedClass class that the client named; null if none
     * @param retry whether the client marked it as a retry
     * @param bodyBytes size of its body
     * @param budgetMs how long its client still waits
     */
    record AdmissionRequest(String id, RouteQuery query, String requestedClass, boolean retry, long bodyBytes,
                            double budgetMs) { }

    /** The decision on a request. */
    sealed interface Decision { }

    /**
     * The request is admitted. If it is queued, either {@link AdmissionController#nextQueued} returns its id at its
     * turn, or {@link AdmissionController#withdraw} must be called for it. After its turn, or if it is not queued,
     * {@link AdmissionController#requestEnded} must be called when it ends.
     *
     * @param serviceClass class of the request
     * @param budgetMs time budget of the request
     * @param group node group that it goes to; the empty string for the platform's nodes
     * @param maxQueueMs how long it may stay in the queue; 0 if it proceeds at once
     * @param displacedId id of a queued request that lost its position to this one and must be rejected; null if none
     *     did
     */
    record Admitted(ServiceClass serviceClass, double budgetMs, String group, double maxQueueMs, String displacedId)
            implements Decision {

        /**
         * Whether the request needs an idempotency key: without one, nodes would not drop a duplicate of it, and a
         * duplicate may be sent.
         */
        public boolean requiresIdempotencyKey(boolean write) {
            return write && serviceClass.effect() == Effect.KEYED;
        }

        /** An admitted request that proceeds at once to the platform's nodes. */
        public Admitted(ServiceClass service, double budgetMs) {
            this(service, budgetMs, "", 0, null);
        }
    }

    /**
     * A limit rejects the request, and nothing ran.
     *
     * @param limit name of the limit
     * @param retryAfterMs when the client may retry, in milliseconds; derived from the limit
     */
    record Rejected(String limit, double retryAfterMs) implements Decision { }

    /** The request can never be served as it is. */
    record Invalid(InvalidReason reason) implements Decision { }

    /** Why a request is invalid: its class is unknown, or its body exceeds the limit of its class. */
    enum InvalidReason { UNKNOWN_CLASS, TOO_LARGE }

    /** Decides on a request. */
    Decision admit(double nowMs, AdmissionRequest request);

    /** An admitted request of this class has its final response, or its client has disconnected. */
    void requestEnded(double nowMs, String serviceClass);

    /** Removes the queued request whose turn has come and returns its id; null if there is none. */
    default String nextQueued() {
        return null;
    }

    /**
     * Removes a request from the queue before its turn, if it is still queued. Returns after how many milliseconds a
     * similar request may be retried.
     */
    default double withdraw(double nowMs, String id) {
        return 0;
    }

    /** The maximum number of connections from one client address. */
    default int maxConnectionsPerClient() {
        return Integer.MAX_VALUE;
    }
}
