package ridgemill.core;

import java.util.function.Consumer;
import ridgemill.idempotency.IdempotencyRecord;
import ridgemill.policy.Router.Request;
import ridgemill.policy.Router.ServiceClass;

/**
 * Sits between an {@link Intake} and the dispatchers of its node groups, and may forward requests to other datacenters.
 * Like a dispatcher, it gives one final response to each request that it takes.
 *
 * @param <C> the content type
 */
public interface RequestForwarder<C> {

    /** Takes a request of a class; {@code local} is the dispatcher that it would go to in this datacenter. */
    void submit(Dispatcher<C> local, ServiceClass serviceClass, Request request, Command<C> command,
                ResponseHandler<C> client);

    /** Whether a request with this id is open here, whether or not the local dispatcher also has it. */
    boolean isOpen(String id);

    /**
     * The client of an open request has disconnected; the forwarder informs the local dispatcher. Returns whether the
     * request was open here.
     */
    boolean clientDisconnected(String id);

    /** Whether an open request here may have run anywhere, or is being executed. */
    boolean mayHaveRun(String id);

    /** Gives an open request its final response now; returns false if it is not open here. */
    boolean answerNow(String id);

    /**
     * Queries other datacenters for the record of an idempotency key. {@code found} is called once, with null if none
     * of them has one.
     */
    void findOutcome(String key, String tenant, Consumer<IdempotencyRecord> found);

    /** The number of requests without a final response that the local dispatcher does not have. */
    int pendingRequests();

    /**
     * Counts to be added to those of the dispatchers: requests that never reached the local dispatcher, and results
     * that differ from its results.
     */
    RequestCounters counters();
}
