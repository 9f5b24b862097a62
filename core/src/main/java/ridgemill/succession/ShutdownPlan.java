package ridgemill.succession;

import java.util.Collection;
import ridgemill.policy.Router.ServiceClass;

/**
 * How a process leaves after SIGTERM, in milliseconds from then.
 *
 * @param hasSuccessor whether another process serves at its address
 * @param acceptMs until when it takes new connections
 * @param idleMs until when connections without a request stay open
 * @param responseMs until when each request must have its answer; infinite where its client's time alone counts
 */
public record ShutdownPlan(boolean hasSuccessor, double acceptMs, double idleMs, double responseMs) {

    /** New connections still come for 0.4 s after SIGTERM where nobody succeeds; requests on them for a little longer. */
    private static final double LINGER_MS = 600;
    /** SIGKILL comes no sooner than the longest deadline, this at most, and then so much later. */
    private static final double LONGEST_MS = 3000;
    private static final double GRACE_MS = 700;
    /** What is kept of that for the last answers to be written, and for the process to end by itself. */
    private static final double MARGIN_MS = 250;
    /** A request that comes at the last has so long for its answer: most are answered in a tenth of it. */
    private static final double LAST_MS = 300;

    /** The plan of a process that nobody succeeds. */
    public static final ShutdownPlan WITHOUT_SUCCESSOR = new ShutdownPlan(false, LINGER_MS, LINGER_MS, Double.POSITIVE_INFINITY);

    /**
     * The plan of a process whose classes these are. One that has been succeeded is in nobody's way: it takes nothing new, as
     * others do, and cuts no connection that a request may be on its way on.
     */
    public static ShutdownPlan of(boolean succeeded, Collection<ServiceClass> classes) {
        if (!succeeded) {
            return WITHOUT_SUCCESSOR;
        }
        double longest = classes.stream().mapToDouble(ServiceClass::deadlineMs).max().orElse(LONGEST_MS);
        double end = Math.min(LONGEST_MS, longest) + GRACE_MS - MARGIN_MS;
        return new ShutdownPlan(true, 0, Math.max(0, end - LAST_MS), end);
    }
}
