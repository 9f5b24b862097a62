package ridgemill.lease;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * Schedules the calls of one task: one call to each target in turn. A run over all targets is repeated at an interval,
 * or is started by operators. Selects the next target and records the outcomes; whether a call may be made is decided
 * by the lease. Times are milliseconds.
 */
public final class TargetSchedule {

    /** Number of tries per target in one run, after which the target is skipped. */
    public static final int MAX_TRIES = 3;

    /** Outcome of one call. */
    public enum Outcome {
        /** The call took effect. */
        DONE,
        /** The receiver has seen a higher term: another member holds the lease. */
        REFUSED,
        /** No answer in time, or an answer that reports no effect; the call may have had one. */
        FAILED
    }

    private final int targets;
    private final double intervalMs;
    private final int[] tries;
    private final Outcome[] lastOutcomes;
    private boolean running;
    private double dueAt;
    private int current;
    private long runs;
    private long calls;
    private long refused;
    private long failed;

    /**
     * Creates a schedule; {@code intervalMs} is the time between the starts of two runs, 0 if operators start each run.
     */
    public TargetSchedule(int targets, double intervalMs, double now) {
        this.targets = targets;
        this.intervalMs = intervalMs;
        this.tries = new int[targets];
        this.lastOutcomes = new Outcome[targets];
        this.dueAt = intervalMs > 0 ? now : Double.POSITIVE_INFINITY;
    }

    /** Returns whether the lease is wanted: during a run, and always for a repeated task. */
    public boolean isLeaseWanted() {
        return intervalMs > 0 || running;
    }

    /** Starts a run on behalf of operators; returns false if one is in progress. */
    public boolean start(double now) {
        if (running) {
            return false;
        }
        beginRun(now);
        return true;
    }

    private void beginRun(double now) {
        running = true;
        current = 0;
        Arrays.fill(tries, 0);
        Arrays.fill(lastOutcomes, null);
        dueAt = intervalMs > 0 ? now + intervalMs : Double.POSITIVE_INFINITY;
    }

    /** Returns the index of the target to call now; -1 if there is none. */
    public int nextTarget(double now) {
        if (!running && now >= dueAt) {
            beginRun(now);
        }
        return running ? current : -1;
    }

    /** Returns the start of the next run; negative infinity during a run. */
    public double dueAt() {
        return running ? Double.NEGATIVE_INFINITY : dueAt;
    }

    /**
     * Records the outcome of the call to the current target. A refused call is to be repeated by the holder of the
     * lease.
     */
    public void recordOutcome(Outcome outcome) {
        calls++;
        tries[current]++;
        lastOutcomes[current] = outcome;
        refused += outcome == Outcome.REFUSED ? 1 : 0;
        failed += outcome == Outcome.FAILED ? 1 : 0;
        if (outcome == Outcome.DONE || outcome == Outcome.FAILED && tries[current] >= MAX_TRIES) {
            current++;
        }
        if (current == targets) {
            running = false;
            runs++;
        }
    }

    /** Returns whether a run is in progress. */
    public boolean isRunning() {
        return running;
    }

    /** Describes the progress; operators are shown this text. */
    public String explain() {
        List<String> each = new ArrayList<>();
        for (int i = 0; i < targets; i++) {
            each.add(lastOutcomes[i] == null ? "not yet"
                    : lastOutcomes[i].name().toLowerCase(Locale.ROOT) + (tries[i] > 1 ? " at try " + tries[i] : ""));
        }
        return (running ? "running: " : runs > 0 ? "last run: " : "never run: ") + String.join(", ", each) + "; " + runs
                + " runs, " + calls + " acts, " + refused + " refused, " + failed + " failed";
    }
}
