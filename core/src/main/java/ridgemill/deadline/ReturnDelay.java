package ridgemill.deadline;

/**
 * What an answer needs from when it is there until it is with whoever asked, learned for one hop in one direction: the mean
 * and four mean deviations, as TCP has its time-out (RFC 6298, section 2). Bounded to a part of the time that is left, so that
 * one stall of our own does not make every request one that comes too late.
 */
public final class ReturnDelay {

    private static final double MEAN_GAIN = 1.0 / 8;
    private static final double DEVIATION_GAIN = 1.0 / 4;
    private static final double DEVIATIONS = 4;

    private double mean;
    private double deviation;
    private boolean known;

    /** One took so long. */
    public void record(double ms) {
        if (!(ms >= 0)) {
            return;
        }
        if (!known) {
            known = true;
            mean = ms;
            deviation = ms / 2;
        } else {
            deviation += DEVIATION_GAIN * (Math.abs(ms - mean) - deviation);
            mean += MEAN_GAIN * (ms - mean);
        }
    }

    /** What to keep for it, in milliseconds; 0 before anything is known. */
    public double reserveMs() {
        return mean + DEVIATIONS * deviation;
    }

    /** The same, but no more than a part of what is left. */
    public double reserveMs(double leftMs, double mostPart) {
        return Math.min(reserveMs(), Math.max(0, leftMs) * mostPart);
    }
}
