package ridgemill.deadline;

/**
 * How deadlines are enforced.
 *
 * @param dropsLate whether a request that cannot be answered in time is dropped before it is sent on
 * @param dropsUnread whether an attempt whose response would probably go unread is not sent
 * @param weighsCancellationCost whether an attempt that no client waits for may run to its end if closing its
 *     connection costs the node more than the cancellation saves; otherwise the connection is always closed
 * @param maxReserveFraction the largest part of the remaining time that may be reserved for the way back of a response,
 *     from 0 to 1
 */
public record DeadlinePolicy(boolean dropsLate, boolean dropsUnread, boolean weighsCancellationCost,
                             double maxReserveFraction) {

    /** Nodes are sent the remaining time, and deadlines have no other effect. */
    public static final DeadlinePolicy OFF = new DeadlinePolicy(false, false, false, 0);
    /**
     * Everything except weighing the cost of cancellations: the platform's cache nodes drop a waiting request when its
     * connection closes.
     */
    public static final DeadlinePolicy DEFAULT = new DeadlinePolicy(true, true, false, 0.1);

    public DeadlinePolicy {
        if (!(maxReserveFraction >= 0 && maxReserveFraction <= 1)) {
            throw new IllegalArgumentException("maxReserveFraction must be from 0 to 1, but is " + maxReserveFraction);
        }
    }
}
