package ridgemill.deadline;

/**
 * What is made of deadlines.
 *
 * @param dropsLate whether what can't be answered in time is dropped before it is sent on
 * @param dropsUnread whether what would probably end unread is not sent
 * @param weighsCancellationCost whether an attempt that nobody waits for may run to its end where closing its connection costs the node
 *     more than that relieves it of; else it is always closed
 * @param maxReserveFraction the part of the time left that may be kept for an answer's way back, from 0 to 1
 */
public record DeadlinePolicy(boolean dropsLate, boolean dropsUnread, boolean weighsCancellationCost, double maxReserveFraction) {

    /** The time that is left is told to nodes and nothing else is made of it. */
    public static final DeadlinePolicy OFF = new DeadlinePolicy(false, false, false, 0);
    /** All of it but the weighing of cancels: the platform's cache nodes drop what waits when its connection closes. */
    public static final DeadlinePolicy DEFAULT = new DeadlinePolicy(true, true, false, 0.1);

    public DeadlinePolicy {
        if (!(maxReserveFraction >= 0 && maxReserveFraction <= 1)) {
            throw new IllegalArgumentException("mostReserve is a part from 0 to 1, and not " + maxReserveFraction);
        }
    }
}
