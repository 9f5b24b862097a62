package ridgemill.deadline;

/**
 * Bounds the age of a message that is read only now because the event loop did not read for a while: the process was
 * stopped, got no CPU time, or was busy with other work. {@link #tick} is called at intervals. A message that is read
 * while a tick is overdue may have arrived at any time since the tick was due, and is taken to have arrived then. The
 * same holds for a message that is read in the first moments after a stall, because what arrives during a stall is not
 * all read in one iteration of the loop, and for longer after a long stall: connections are accepted a few per
 * iteration, and each that waited has a message to be read.
 */
public final class LoopStallDetector {

    /** The interval at which {@link #tick} is to be called. */
    public static final double TICK_INTERVAL_MS = 20;
    /** A tick that is less late than this is not a stall. */
    private static final double USUAL_MS = 100;
    /** For how long after a stall a message may still have arrived during it. */
    private static final double AFTER_MS = 2 * TICK_INTERVAL_MS;

    /**
     * After a stall longer than this, such as a stop of the process, reading the backlog takes noticeable time itself.
     */
    private static final double LONG_MS = 500;
    /** Fraction of a long stall for which messages read after it may still have arrived during it. */
    private static final double AFTER_LONG_PART = 0.5;
    /** Upper bound of that time. */
    private static final double AFTER_LONG_MS = 1000;
    /**
     * Stalls while the loop is catching up extend that time until at most this long after the long stall: a loop that
     * is permanently busy would otherwise extend it forever.
     */
    private static final double MOST_CATCHING_UP_MS = 4000;

    private double dueAt = Double.NaN;
    private double lastFrom = Double.NaN;
    private double lastUntil = Double.NEGATIVE_INFINITY;
    /**
     * Earliest arrival of a message read in the first moments after the last stall: the start of that stall, or of the
     * one directly before it.
     */
    private double unreadFrom = Double.NaN;
    private double longFrom = Double.NaN;
    private double longUntil = Double.NEGATIVE_INFINITY;
    private double longEnd;
    private double longWindow;
    private double worstMs;

    /** Records that the event loop is running. */
    public void tick(double nowMs) {
        double late = Double.isNaN(dueAt) ? 0 : nowMs - dueAt;
        if (late > USUAL_MS) {
            // A stall directly after another may still have to read what arrived during that one, but nothing older,
            // because the loop has run since. Otherwise a loop that is permanently busy would take every message to be
            // as old as the time for which it has been busy.
            unreadFrom = dueAt - lastUntil < AFTER_MS ? lastFrom : dueAt;
            boolean catchesUp = dueAt < longUntil;
            if (late > LONG_MS) {
                boolean chained = catchesUp && dueAt < longEnd + MOST_CATCHING_UP_MS;
                longFrom = chained ? longFrom : unreadFrom;
                longEnd = chained ? longEnd : nowMs;
                longWindow = Math.max(chained ? longWindow : 0,
                        Math.min(AFTER_LONG_MS, late * AFTER_LONG_PART));
                longUntil = nowMs + longWindow;
            } else if (catchesUp) {
                // Nothing was read during this stall, so the backlog is larger than assumed.
                longUntil = Math.max(longUntil,
                        Math.min(nowMs + longWindow, longEnd + MOST_CATCHING_UP_MS));
            }
            lastFrom = dueAt;
            lastUntil = nowMs;
            worstMs = Math.max(worstMs, late);
        }
        dueAt = nowMs + TICK_INTERVAL_MS;
    }

    /**
     * The greatest age, in milliseconds, that a message read now can have because the loop stalled; 0 before the first
     * tick.
     */
    public double maxAgeMs(double nowMs) {
        if (Double.isNaN(dueAt)) {
            return 0;
        }
        boolean overdue = nowMs - dueAt > USUAL_MS;
        // While a tick is overdue, nothing has been read since it was due.
        double readAt = overdue ? dueAt : nowMs;
        double from = readAt < longUntil ? longFrom
                : readAt - lastUntil < AFTER_MS ? overdue ? lastFrom : unreadFrom : readAt;
        return nowMs - from;
    }

    /** The longest stall since the start, in milliseconds. */
    public double longestStallMs() {
        return worstMs;
    }
}
