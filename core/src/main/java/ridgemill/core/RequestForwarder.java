package ridgemill.core;

import java.util.function.Consumer;
import ridgemill.idempotency.IdempotencyRecord;
import ridgemill.policy.Router.Request;
import ridgemill.policy.Router.ServiceClass;

/**
 * Stands between an {@link Intake} and the decisions of its groups of nodes, and may have a request served elsewhere. It
 * owes what a dispatcher owes: one final answer to each request that it takes.
 *
 * @param <C> the type of contents that fronts and backs share
 */
public interface RequestForwarder<C> {

    /** Takes a request of a class; {@code home} are the decisions that it would go to. */
    void submit(Dispatcher<C> home, ServiceClass service, Request in, Command<C> command, ResponseHandler<C> client);

    /** Whether a request with this id is open here, whether or not {@code home} has it too. */
    boolean isOpen(String id);

    /** The client of an open request has left; home is told by this. Returns whether the request was open here. */
    boolean clientGone(String id);

    /** Whether an open request here may have run anywhere already, or be under way. */
    boolean mayHaveRun(String id);

    /** An open request needs its final answer now; false where it is not open here. */
    boolean answerNow(String id);

    /** Finds what a key came to elsewhere; {@code found} is told once, with null where nobody knows. */
    void findOutcome(String key, String tenant, Consumer<IdempotencyRecord> found);

    /** Requests that have no final answer yet and are not at home. */
    int pendingRequests();

    /** What it adds to the counts of the groups: requests that never came to home, and ends that are other than home's. */
    RequestCounters counters();
}
