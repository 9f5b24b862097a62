package ridgemill.loops;

/**
 * Decides which of several loops a new connection goes to: of those that keep up, one with the fewest connections. It
 * is told at intervals how late each loop runs; one that is late by much, or has not been heard of for long, gets none while another keeps up,
 * so that a loop that a hot connection saturates, or that is stuck, takes no more clients with it. A loop that was retired
 * gets none for good. Times are milliseconds of any clock that never runs back.
 */
public final class ConnectionDistributor {

    /** Nobody may be dealt a connection. */
    public static final int NONE = -1;
    /** A loop this late serves its clients late too; usual turns of a busy loop are well below. */
    private static final double LATE_MS = 25;
    /** What the newest turn counts for against those before it, where it was in time. */
    private static final double NEWEST = 0.2;
    /** What a loop told of its lateness counts for so long at most: it may have caught up. */
    private static final double SILENT_MS = 500;

    private final int[] open;
    private final int[] most;
    private final double[] heardAt;
    private final double[] lateMs;
    private final boolean[] retired;
    private int last;

    /** As many loops as {@code most} has entries, each with the connections that it may have, at least 1. */
    public ConnectionDistributor(int[] most, double nowMs) {
        this.most = most.clone();
        this.open = new int[most.length];
        this.heardAt = new double[most.length];
        this.lateMs = new double[most.length];
        this.retired = new boolean[most.length];
        for (int i = 0; i < most.length; i++) {
            if (most[i] < 1) {
                throw new IllegalArgumentException("a loop that may have no connection is dealt none: " + i);
            }
            heardAt[i] = nowMs;
        }
    }

    /** Names the loop that the next connection goes to, or {@link #NONE} while each has what it may have. */
    public int nextLoop(double nowMs) {
        int best = NONE;
        boolean bestKeepsUp = false;
        // From behind the last one on, so that equals take turns.
        for (int k = 1; k <= open.length; k++) {
            int i = (last + k) % open.length;
            if (retired[i] || open[i] >= most[i]) {
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

    /** A connection went to a loop. */
    public void connectionOpened(int loop) {
        open[loop]++;
        last = loop;
    }

    /** One that it had has closed. */
    public void connectionClosed(int loop) {
        open[loop]--;
    }

    /**
     * A loop has taken a task up so long after it was handed over. One late turn counts at once and fades: a loop whose turns
     * are long takes some tasks up at once too.
     */
    public void reportDelay(int loop, double nowMs, double late) {
        heardAt[loop] = nowMs;
        lateMs[loop] = Math.max(late, lateMs[loop] + NEWEST * (late - lateMs[loop]));
    }

    /** A loop gets no more connections, whatever it tells. */
    public void retire(int loop) {
        retired[loop] = true;
    }

    /** Whether a loop was heard of late and ran in time. */
    public boolean isKeepingUp(int loop, double nowMs) {
        return lateMs[loop] <= LATE_MS && nowMs - heardAt[loop] <= SILENT_MS;
    }

    /** How long a loop has not told anything, in milliseconds. */
    public double sinceLastReportMs(int loop, double nowMs) {
        return nowMs - heardAt[loop];
    }

    /** Whether a loop was retired. */
    public boolean isRetired(int loop) {
        return retired[loop];
    }

    /** Connections that a loop has. */
    public int openConnections(int loop) {
        return open[loop];
    }

    /** How many loops there are. */
    public int loopCount() {
        return open.length;
    }
}
