package ridgemill.deadline;

/**
 * Tells how old a message may be that is read only now, because nothing was read for a while: the process was stopped, had no
 * processor, or was at work on something else. It is told at intervals that the loop turns; a message that is read while such
 * a beat is overdue may have come at any time since, and is taken to have come at once. So is one that is read in the first
 * moments after, as what came during a stall is not all read in one turn.
 */
public final class LoopWatch {

    /** How often it wants to be told. */
    public static final double BEAT_MS = 20;
    /** Beats that are less late than this are of a loop that turns. */
    private static final double USUAL_MS = 100;
    /** For how long after a stall what is read may still have come during it. */
    private static final double AFTER_MS = 2 * BEAT_MS;

    private double dueAt = Double.NaN;
    private double stalledFrom = Double.NaN;
    private double stalledUntil = Double.NEGATIVE_INFINITY;
    private double worstMs;

    /** The loop turns. */
    public void beat(double nowMs) {
        if (!Double.isNaN(dueAt) && nowMs - dueAt > USUAL_MS) {
            stalledFrom = dueAt;
            stalledUntil = nowMs;
            worstMs = Math.max(worstMs, nowMs - dueAt);
        }
        dueAt = nowMs + BEAT_MS;
    }

    /** How old, in milliseconds, a message that is read now may be at most without our having seen it. */
    public double ageMs(double nowMs) {
        if (Double.isNaN(dueAt)) {
            return 0;
        }
        if (nowMs - dueAt > USUAL_MS) {
            return nowMs - dueAt;
        }
        return nowMs - stalledUntil < AFTER_MS ? nowMs - stalledFrom : 0;
    }

    /** The longest stall since the start. */
    public double worstMs() {
        return worstMs;
    }
}
