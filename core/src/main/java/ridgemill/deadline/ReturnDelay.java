package ridgemill.deadline;

/**
 * Estimates how long a response takes from when it is ready until the caller has it, for one hop in one direction. The
 * estimate is the mean plus four mean deviations, like TCP's retransmission timeout (RFC 6298, section 2). It can be
 * capped at a fraction of the remaining time, so that a single stall of this process does not make every request late.
 */
public final class ReturnDelay {

    private static final double MEAN_GAIN = 1.0 / 8;
    private static final double DEVIATION_GAIN = 1.0 / 4;
    private static final double DEVIATIONS = 4;

    private double meanMs;
    private double deviationMs;
    private boolean known;

    /** Records one measured delay; negative values and NaN are ignored. */
    public void record(double ms) {
        if (!(ms >= 0)) {
            return;
        }
        if (!known) {
            known = true;
            meanMs = ms;
            deviationMs = ms / 2;
        } else {
            deviationMs += DEVIATION_GAIN * (Math.abs(ms - meanMs) - deviationMs);
            meanMs += MEAN_GAIN * (ms - meanMs);
        }
    }

    /** Time to reserve for the way back, in milliseconds; 0 before the first measurement. */
    public double reserveMs() {
        return meanMs + DEVIATIONS * deviationMs;
    }

    /** Like {@link #reserveMs()}, but at most {@code maxFraction} of the remaining time. */
    public double reserveMs(double remainingMs, double maxFraction) {
        return Math.min(reserveMs(), Math.max(0, remainingMs) * maxFraction);
    }
}
