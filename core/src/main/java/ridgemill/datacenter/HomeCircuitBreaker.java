package ridgemill.datacenter;

/**
 * Whether the next request of one class tries home first or goes across at once. It goes away when home serves less than
 * half of what it is asked, looks now and then whether home serves again, and comes back by degrees, so that a home that
 * has just recovered is not met by everything at once. Each return that fails makes the looks rarer for a while, and what
 * sends requests away (half) is far from what lets them come home (nine of ten): there is no point around which it could
 * swing.
 */
final class HomeCircuitBreaker {

    /** Where requests of the class go. */
    enum State {
        /** All try home first. */
        HOME,
        /** All go across but a look now and then. */
        AWAY,
        /** A growing share tries home first. */
        RETURNING
    }

    private static final double WINDOW_MS = 2000;
    private static final int MIN_SAMPLES = 5;
    private static final double AWAY_FAILURE_RATIO = 0.5;
    private static final double RETURN_FAILURE_RATIO = 0.1;
    private static final double DEGRADED_FAILURE_RATIO = 0.05;
    /** So many in a row and no other between them: for classes that are asked for too seldom to fill the window. */
    private static final int FAILURE_STREAK = 3;
    private static final int PROBES_TO_RETURN = 3;
    private static final double INITIAL_PROBE_INTERVAL_MS = 500;
    private static final double MAX_PROBE_INTERVAL_MS = 8000;
    private static final double INITIAL_RETURN_SHARE = 0.1;
    private static final double RETURN_STEP_MS = 1000;
    /** After so long at home without going away the looks are as often as at first. */
    private static final double BACKOFF_RESET_MS = 60_000;

    private final boolean countStreaks;
    private final OutcomeWindow outcomes = new OutcomeWindow(WINDOW_MS);
    private State state = State.HOME;
    private double stateSinceMs;
    private double nextProbeMs;
    private double probeIntervalMs = INITIAL_PROBE_INTERVAL_MS;
    private double share = 1;
    private double credit;
    private int consecutiveFailures;
    private int consecutiveSuccesses;

    /** {@code streaks} says whether a few failures in a row count, which they must not where some always fail. */
    HomeCircuitBreaker(boolean streaks) {
        this.countStreaks = streaks;
    }

    State state() {
        return state;
    }

    /** Whether home has of late failed often enough for others to be kept ready. */
    boolean isDegraded(double nowMs) {
        return state != State.HOME || outcomes.failureRatio(nowMs) > DEGRADED_FAILURE_RATIO;
    }

    /** The part that tries home first, 0 to 1. */
    double homeShare() {
        return state == State.HOME ? 1 : state == State.AWAY ? 0 : share;
    }

    /** Whether the next request tries home first. */
    boolean tryHomeFirst(double nowMs) {
        if (state == State.AWAY) {
            if (nowMs < nextProbeMs) {
                return false;
            }
            nextProbeMs = nowMs + probeIntervalMs;
            return true;
        }
        if (state == State.RETURNING) {
            increaseShare(nowMs);
            // Spread evenly, not by chance: the same share at any rate.
            credit += share;
            if (credit < 1) {
                return false;
            }
            credit -= 1;
        }
        return true;
    }

    /** Home has served one that tried it, or not. */
    void recordOutcome(double nowMs, boolean served) {
        outcomes.add(nowMs, served);
        consecutiveFailures = served ? 0 : consecutiveFailures + 1;
        consecutiveSuccesses = served ? consecutiveSuccesses + 1 : 0;
        switch (state) {
            case HOME, RETURNING -> {
                boolean mostly = outcomes.total(nowMs) >= MIN_SAMPLES && outcomes.failureRatio(nowMs) > AWAY_FAILURE_RATIO;
                if (mostly || countStreaks && consecutiveFailures >= FAILURE_STREAK) {
                    switchAway(nowMs);
                }
            }
            case AWAY -> {
                if (consecutiveSuccesses >= PROBES_TO_RETURN) {
                    enterState(nowMs, State.RETURNING);
                    share = INITIAL_RETURN_SHARE;
                }
            }
        }
    }

    private void increaseShare(double nowMs) {
        if (nowMs - stateSinceMs < RETURN_STEP_MS) {
            return;
        }
        stateSinceMs = nowMs;
        if (outcomes.failureRatio(nowMs) > RETURN_FAILURE_RATIO) {
            return;
        }
        share *= 2;
        if (share >= 1) {
            enterState(nowMs, State.HOME);
        }
    }

    private void switchAway(double nowMs) {
        boolean fellBack = state == State.RETURNING || nowMs - stateSinceMs < BACKOFF_RESET_MS && probeIntervalMs > INITIAL_PROBE_INTERVAL_MS;
        probeIntervalMs = fellBack ? Math.min(MAX_PROBE_INTERVAL_MS, 2 * probeIntervalMs) : nowMs - stateSinceMs >= BACKOFF_RESET_MS ? INITIAL_PROBE_INTERVAL_MS : probeIntervalMs;
        enterState(nowMs, State.AWAY);
        nextProbeMs = nowMs + probeIntervalMs;
    }

    private void enterState(double nowMs, State next) {
        state = next;
        stateSinceMs = nowMs;
        consecutiveSuccesses = 0;
        consecutiveFailures = 0;
        credit = 0;
        outcomes.clear();
    }
}
