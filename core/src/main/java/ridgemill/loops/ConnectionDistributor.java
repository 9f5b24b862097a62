package ridgemill.loops;

/**
 * Decides which of several event loops a new connection goes to: the one with the fewest connections among those that
 * keep up. Each loop's delay is reported at intervals. A loop that runs late, or has not reported for long, gets no
 * connection while another loop keeps up, so that a loop that is saturated by a busy connection, or is stuck, affects
 * no further clients. A retired loop never gets one again. Times are in milliseconds of any monotonic clock.
 */
public final class ConnectionDistributor {

    /** No loop can take a connection. */
    public static final int NONE = -1;
    /** A loop with a greater delay serves its clients late; ordinary iterations of a busy loop are well below. */
    private static final double MAX_DELAY_MS = 25;
    /** Smoothing factor by which a reported delay fades. */
    private static final double SMOOTHING = 0.2;
    /**
     * For how long a report counts: its delay may have changed since, and without a newer report the loop is taken not
     * to keep up.
     */
    private static final double MAX_SILENCE_MS = 500;

    private final int[] open;
    private final int[] maxOpen;
    private final double[] reportedAtMs;
    private final double[] delayMs;
    private final boolean[] retired;
    private int last;

    /**
     * Creates a distributor for as many loops as {@code maxOpen} has entries: each loop's connection limit, at least 1.
     */
    public ConnectionDistributor(int[] maxOpen, double nowMs) {
        this.maxOpen = maxOpen.clone();
        this.open = new int[maxOpen.length];
        this.reportedAtMs = new double[maxOpen.length];
        this.delayMs = new double[maxOpen.length];
        this.retired = new boolean[maxOpen.length];
        for (int i = 0; i < maxOpen.length; i++) {
            if (maxOpen[i] < 1) {
                throw new IllegalArgumentException("the connection limit of a loop must be at least 1: loop " + i);
            }
            reportedAtMs[i] = nowMs;
        }
    }

    /** Returns the loop that the next connection goes to, or {@link #NONE} if every loop is at its limit or retired. */
    public int nextLoop(double nowMs) {
        int best = NONE;
        boolean bestKeepsUp = false;
        // Starts after the last loop chosen, so that equal loops take turns.
        for (int k = 1; k <= open.length; k++) {
            int i = (last + k) % open.length;
            if (retired[i] || open[i] >= maxOpen[i]) {
                continue;
            }
            boolean keepsUp = isKeepingUp(i, nowMs);
            if (best == NONE || keepsUp && !bestKeepsUp || keepsUp == bestKeepsUp && open[i] < open[best]) {
                best = i;
                bestKeepsUp = keepsUp;
            }
        }
        return best;
    }

    /** Records that a connection was assigned to a loop. */
    public void connectionOpened(int loop) {
        open[loop]++;
        last = loop;
    }

    /** Records that a connection of a loop was closed. */
    public void connectionClosed(int loop) {
        open[loop]--;
    }

    /**
     * Records how long a task waited until a loop ran it, in milliseconds. A long delay counts at once and then fades:
     * a loop with long iterations still runs some tasks immediately.
     */
    public void reportDelay(int loop, double nowMs, double reportedMs) {
        reportedAtMs[loop] = nowMs;
        delayMs[loop] = Math.max(reportedMs, delayMs[loop] + SMOOTHING * (reportedMs - delayMs[loop]));
    }

    /** Excludes a loop from new connections for good, whatever it reports. */
    public void retire(int loop) {
        retired[loop] = true;
    }

    /** Whether a loop has reported recently and was not late. */
    public boolean isKeepingUp(int loop, double nowMs) {
        return delayMs[loop] <= MAX_DELAY_MS && nowMs - reportedAtMs[loop] <= MAX_SILENCE_MS;
    }

    /** Time since the last report of a loop, in milliseconds. */
    public double sinceLastReportMs(int loop, double nowMs) {
        return nowMs - reportedAtMs[loop];
    }

    /** Whether a loop was retired. */
    public boolean isRetired(int loop) {
        return retired[loop];
    }

    /** The number of open connections of a loop. */
    public int openConnections(int loop) {
        return open[loop];
    }

    /** The number of loops. */
    public int loopCount() {
        return open.length;
    }
}
