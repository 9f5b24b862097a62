package ridgemill.succession;

import java.util.Collection;
import ridgemill.policy.Router.ServiceClass;

/**
 * How a process shuts down after SIGTERM. Times are milliseconds since the signal.
 *
 * @param hasSuccessor whether another process serves at the same address
 * @param acceptMs until when new connections are accepted
 * @param idleMs until when connections without a request stay open
 * @param responseMs until when each request must be answered; infinite if only its client's deadline counts
 */
public record ShutdownPlan(boolean hasSuccessor, double acceptMs, double idleMs, double responseMs) {

    /** Without a successor, new connections arrive for 0.4 s after SIGTERM, and requests on them a little longer. */
    private static final double LINGER_MS = 600;
    /** SIGKILL follows after the longest deadline, limited to MAX_DEADLINE_MS, and GRACE_MS at the earliest. */
    private static final double MAX_DEADLINE_MS = 3000;
    private static final double GRACE_MS = 700;
    /** Part of the grace that is reserved for writing the last responses and for the end of the process. */
    private static final double MARGIN_MS = 250;
    /** Time for a request that arrives at the last moment; most are answered in a tenth of it. */
    private static final double LAST_RESPONSE_MS = 300;

    /** The plan of a process without a successor. */
    public static final ShutdownPlan WITHOUT_SUCCESSOR = new ShutdownPlan(false, LINGER_MS, LINGER_MS,
            Double.POSITIVE_INFINITY);

    /**
     * Returns the plan of a process with these service classes. A process with a successor accepts nothing new, as the
     * successor does, and closes no connection on which a request may be in transit.
     */
    public static ShutdownPlan of(boolean hasSuccessor, Collection<ServiceClass> classes) {
        if (!hasSuccessor) {
            return WITHOUT_SUCCESSOR;
        }
        double longest = classes.stream().mapToDouble(ServiceClass::deadlineMs).max().orElse(MAX_DEADLINE_MS);
        double end = Math.min(MAX_DEADLINE_MS, longest) + GRACE_MS - MARGIN_MS;
        return new ShutdownPlan(true, 0, Math.max(0, end - LAST_RESPONSE_MS), end);
    }
}
