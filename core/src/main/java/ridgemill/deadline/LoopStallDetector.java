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
    private static final double STALL_THRESHOLD_MS = 100;
    /** For how long after a stall a message may still have arrived during it. */
    private static final double CATCH_UP_MS = 2 * TICK_INTERVAL_MS;

    /**
     * After a stall longer than this, such as a stop of the process, reading the backlog takes noticeable time itself.
     */
    private static final double LONG_STALL_MS = 500;
    /** Fraction of a long stall for which messages read after it may still have arrived during it. */
    private static final double LONG_CATCH_UP_FRACTION = 0.5;
    /** Upper bound of that time. */
    private static final double MAX_LONG_CATCH_UP_MS = 1000;
    /**
     * Stalls while the loop is catching up extend that time until at most this long after the long stall: a loop that
     * is permanently busy would otherwise extend it forever.
     */
    private static final double MAX_EXTENSION_MS = 4000;

    private double nextTickMs = Double.NaN;
    private double lastStallFromMs = Double.NaN;
    private double lastStallUntilMs = Double.NEGATIVE_INFINITY;
    /**
     * Earliest arrival of a message read in the first moments after the last stall: the start of that stall, or of the
     * one directly before it.
     */
    private double backlogFromMs = Double.NaN;
    private double longStallFromMs = Double.NaN;
    private double catchUpUntilMs = Double.NEGATIVE_INFINITY;
    private double longStallEndMs;
    private double catchUpMs;
    private double longestStallMs;

    /** Records that the event loop is running. */
    public void tick(double nowMs) {
        double lateMs = Double.isNaN(nextTickMs) ? 0 : nowMs - nextTickMs;
        if (lateMs > STALL_THRESHOLD_MS) {
            // A stall directly after another may still have to read what arrived during that one, but nothing older,
            // because the loop has run since. Otherwise a loop that is permanently busy would take every message to be
            // as old as the time for which it has been busy.
            backlogFromMs = nextTickMs - lastStallUntilMs < CATCH_UP_MS ? lastStallFromMs : nextTickMs;
            boolean catchingUp = nextTickMs < catchUpUntilMs;
            if (lateMs > LONG_STALL_MS) {
                boolean chained = catchingUp && nextTickMs < longStallEndMs + MAX_EXTENSION_MS;
                longStallFromMs = chained ? longStallFromMs : backlogFromMs;
                longStallEndMs = chained ? longStallEndMs : nowMs;
                catchUpMs = Math.max(chained ? catchUpMs : 0,
                        Math.min(MAX_LONG_CATCH_UP_MS, lateMs * LONG_CATCH_UP_FRACTION));
                catchUpUntilMs = nowMs + catchUpMs;
            } else if (catchingUp) {
                // Nothing was read during this stall, so the backlog is larger than assumed.
                catchUpUntilMs = Math.max(catchUpUntilMs,
                        Math.min(nowMs + catchUpMs, longStallEndMs + MAX_EXTENSION_MS));
            }
            lastStallFromMs = nextTickMs;
            lastStallUntilMs = nowMs;
            longestStallMs = Math.max(longestStallMs, lateMs);
        }
        nextTickMs = nowMs + TICK_INTERVAL_MS;
    }

    /**
     * The greatest age, in milliseconds, that a message read now can have because the loop stalled; 0 before the first
     * tick.
     */
    public double maxAgeMs(double nowMs) {
        if (Double.isNaN(nextTickMs)) {
            return 0;
        }
        boolean overdue = nowMs - nextTickMs > STALL_THRESHOLD_MS;
        // While a tick is overdue, nothing has been read since it was due.
        double readAtMs = overdue ? nextTickMs : nowMs;
        double fromMs = readAtMs < catchUpUntilMs ? longStallFromMs
                : readAtMs - lastStallUntilMs < CATCH_UP_MS ? overdue ? lastStallFromMs : backlogFromMs : readAtMs;
        return nowMs - fromMs;
    }

    /** The longest stall since the start, in milliseconds. */
    public double longestStallMs() {
        return longestStallMs;
    }
}
