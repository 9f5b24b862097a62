package ridgemill.deadline;

/**
 * Tells how old a message may be that is read only now, because nothing was read for a while: the process was stopped, had no
 * processor, or was at work on something else. It is told at intervals that the loop turns; a message that is read while such
 * a beat is overdue may have come at any time since, and is taken to have come at once. So is one that is read in the first
 * moments after, as what came during a stall is not all read in one turn, and after a long one for a while: connections are
 * accepted a few a turn, and each that waited has a message to be read.
 */
public final class LoopStallDetector {

    /** How often it wants to be told. */
    public static final double TICK_INTERVAL_MS = 20;
    /** Beats that are less late than this are of a loop that turns. */
    private static final double USUAL_MS = 100;
    /** For how long after a stall what is read may still have come during it. */
    private static final double AFTER_MS = 2 * TICK_INTERVAL_MS;

    /** A stall as long as this, as of a process that was stopped, leaves so much unread that reading it takes a while itself. */
    private static final double LONG_MS = 500;
    /** The part of a long stall for which what is read after it may still have come during it, and the most that this is. */
    private static final double AFTER_LONG_PART = 0.5;
    private static final double AFTER_LONG_MS = 1000;
    /** Stalls in it put its end off, to no later than so long after the stall: a loop that is busy for good would never end it. */
    private static final double MOST_CATCHING_UP_MS = 4000;

    private double dueAt = Double.NaN;
    private double lastFrom = Double.NaN;
    private double lastUntil = Double.NEGATIVE_INFINITY;
    /** From when what is read in the first moments after the last stall may be: its own beginning, or that of one right before it. */
    private double unreadFrom = Double.NaN;
    private double longFrom = Double.NaN;
    private double longUntil = Double.NEGATIVE_INFINITY;
    private double longEnd;
    private double longWindow;
    private double worstMs;

    /** The loop turns. */
    public void tick(double nowMs) {
        double late = Double.isNaN(dueAt) ? 0 : nowMs - dueAt;
        if (late > USUAL_MS) {
            // One that follows another at once may still have to read what came during that; not what came before it, as the loop has
            // turned since: one that is busy for good would take all that it reads for as old as it is busy.
            unreadFrom = dueAt - lastUntil < AFTER_MS ? lastFrom : dueAt;
            boolean catchesUp = dueAt < longUntil;
            if (late > LONG_MS) {
                boolean chained = catchesUp && dueAt < longEnd + MOST_CATCHING_UP_MS;
                longFrom = chained ? longFrom : unreadFrom;
                longEnd = chained ? longEnd : nowMs;
                longWindow = Math.max(chained ? longWindow : 0, Math.min(AFTER_LONG_MS, late * AFTER_LONG_PART));
                longUntil = nowMs + longWindow;
            } else if (catchesUp) {
                // Nothing was read meanwhile, and whoever stalls now has more to read than it was thought to have.
                longUntil = Math.max(longUntil, Math.min(nowMs + longWindow, longEnd + MOST_CATCHING_UP_MS));
            }
            lastFrom = dueAt;
            lastUntil = nowMs;
            worstMs = Math.max(worstMs, late);
        }
        dueAt = nowMs + TICK_INTERVAL_MS;
    }

    /** How old, in milliseconds, a message that is read now may be at most without our having seen it. */
    public double maxAgeMs(double nowMs) {
        if (Double.isNaN(dueAt)) {
            return 0;
        }
        boolean overdue = nowMs - dueAt > USUAL_MS;
        // While a beat is overdue nothing has been read since it was due.
        double readAt = overdue ? dueAt : nowMs;
        double from = readAt < longUntil ? longFrom : readAt - lastUntil < AFTER_MS ? overdue ? lastFrom : unreadFrom : readAt;
        return nowMs - from;
    }

    /** The longest stall since the start. */
    public double longestStallMs() {
        return worstMs;
    }
}
