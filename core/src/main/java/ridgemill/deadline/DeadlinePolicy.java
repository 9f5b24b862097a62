package ridgemill.deadline;

/**
 * What is made of deadlines.
 *
 * @param drops whether what can't be answered in time is dropped before it is sent on
 * @param unread whether what would probably end unread is not sent
 * @param weighsCancels whether an attempt that nobody waits for may run to its end where closing its connection costs the node
 *     more than that relieves it of; else it is always closed
 * @param mostReserve the part of the time left that may be kept for an answer's way back, from 0 to 1
 */
public record DeadlinePolicy(boolean drops, boolean unread, boolean weighsCancels, double mostReserve) {

    /** The time that is left is told to nodes and nothing else is made of it. */
    public static final DeadlinePolicy OFF = new DeadlinePolicy(false, false, false, 0);
    /** All of it but the weighing of cancels: the platform's cache nodes drop what waits when its connection closes. */
    public static final DeadlinePolicy USUAL = new DeadlinePolicy(true, true, false, 0.1);

    public DeadlinePolicy {
        if (!(mostReserve >= 0 && mostReserve <= 1)) {
            throw new IllegalArgumentException("mostReserve is a part from 0 to 1, and not " + mostReserve);
        }
    }
}
