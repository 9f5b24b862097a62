package ridgemill.lease;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * The acts of one task, one after the other: a call to each target in turn, again after a time where the task goes on by itself,
 * else once for each time that operators start it. It says what is to be done next and keeps what came of it; whether it may be
 * done is the lease's to say. Times are milliseconds.
 */
public final class TargetSchedule {

    /** How often a target is tried in one run before it is left out. */
    public static final int MAX_TRIES = 3;

    /** What came of one act. */
    public enum Outcome {
        /** It took effect. */
        DONE,
        /** The receiver has seen a higher term: another holds the lease. */
        REFUSED,
        /** No answer in time, or another that tells of no effect; it may have had one. */
        FAILED
    }

    private final int targets;
    private final double everyMs;
    private final int[] tries;
    private final Outcome[] last;
    private boolean running;
    private double dueAt;
    private int next;
    private long runs;
    private long acts;
    private long refused;
    private long failed;

    /** {@code everyMs} is the time from one run's beginning to the next one's; 0 where operators start each. */
    public TargetSchedule(int targets, double everyMs, double now) {
        this.targets = targets;
        this.everyMs = everyMs;
        this.tries = new int[targets];
        this.last = new Outcome[targets];
        this.dueAt = everyMs > 0 ? now : Double.POSITIVE_INFINITY;
    }

    /** Whether the lease is wanted now: while there is something to do, and always by one that goes on by itself. */
    public boolean wantsLease() {
        return everyMs > 0 || running;
    }

    /** Operators start a run; false if one is under way. */
    public boolean start(double now) {
        if (running) {
            return false;
        }
        begin(now);
        return true;
    }

    private void begin(double now) {
        running = true;
        next = 0;
        Arrays.fill(tries, 0);
        Arrays.fill(last, null);
        dueAt = everyMs > 0 ? now + everyMs : Double.POSITIVE_INFINITY;
    }

    /** The target to act on now; -1 for none. */
    public int nextTarget(double now) {
        if (!running && now >= dueAt) {
            begin(now);
        }
        return running ? next : -1;
    }

    /** When there is something to do next, where there is nothing now. */
    public double dueAt() {
        return running ? Double.NEGATIVE_INFINITY : dueAt;
    }

    /** An act on the present target has ended. One that was refused ends nothing: it is for whoever holds the lease then. */
    public void recordOutcome(Outcome outcome) {
        acts++;
        tries[next]++;
        last[next] = outcome;
        refused += outcome == Outcome.REFUSED ? 1 : 0;
        failed += outcome == Outcome.FAILED ? 1 : 0;
        if (outcome == Outcome.DONE || outcome == Outcome.FAILED && tries[next] >= MAX_TRIES) {
            next++;
        }
        if (next == targets) {
            running = false;
            runs++;
        }
    }

    /** Whether a run is under way. */
    public boolean isRunning() {
        return running;
    }

    /** How it goes, in words. */
    public String explain() {
        List<String> each = new ArrayList<>();
        for (int i = 0; i < targets; i++) {
            each.add(last[i] == null ? "not yet" : last[i].name().toLowerCase(Locale.ROOT) + (tries[i] > 1 ? " at try " + tries[i] : ""));
        }
        return (running ? "running: " : runs > 0 ? "last run: " : "never run: ") + String.join(", ", each) + "; " + runs + " runs, " + acts
                + " acts, " + refused + " refused, " + failed + " failed";
    }
}
