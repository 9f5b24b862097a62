package ridgemill.datacenter;

/**
 * Decides for one request class whether the next request tries the home datacenter first or is forwarded at once. The
 * breaker opens when home serves less than half of the requests, probes now and then whether home serves again, and
 * closes in steps, so that a home datacenter that has just recovered does not get the full load at once. Each return
 * that fails makes the probes rarer for a while. The threshold for leaving (half of the requests fail) is far from the
 * one for returning (nine of ten are served), so the state cannot oscillate between them.
 */
final class HomeCircuitBreaker {

    /** Where the requests of the class go. */
    enum State {
        /** All try home first. */
        HOME,
        /** All are forwarded, except for a probe now and then. */
        AWAY,
        /** A growing share tries home first. */
        RETURNING
    }

    private static final double WINDOW_MS = 2000;
    private static final int MIN_SAMPLES = 5;
    private static final double AWAY_FAILURE_RATIO = 0.5;
    private static final double RETURN_FAILURE_RATIO = 0.1;
    private static final double DEGRADED_FAILURE_RATIO = 0.05;
    /** This many failures in a row open the breaker too, for classes with too few requests to fill the window. */
    private static final int FAILURE_STREAK = 3;
    private static final int PROBES_TO_RETURN = 3;
    private static final double INITIAL_PROBE_INTERVAL_MS = 500;
    private static final double MAX_PROBE_INTERVAL_MS = 8000;
    private static final double INITIAL_RETURN_SHARE = 0.1;
    private static final double RETURN_STEP_MS = 1000;
    /** After this time at home without opening, the probe interval is the initial one again. */
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

    /**
     * @param countStreaks whether a few failures in a row open the breaker; false for classes in which some requests
     *     always fail
     */
    HomeCircuitBreaker(boolean countStreaks) {
        this.countStreaks = countStreaks;
    }

    State state() {
        return state;
    }

    /** Whether home has failed often enough of late that another datacenter should be kept ready as a fallback. */
    boolean isDegraded(double nowMs) {
        return state != State.HOME || outcomes.failureRatio(nowMs) > DEGRADED_FAILURE_RATIO;
    }

    /** The share of requests that try home first, 0 to 1. */
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
            // Spread evenly instead of at random, so that the share is the same at any request rate.
            credit += share;
            if (credit < 1) {
                return false;
            }
            credit -= 1;
        }
        return true;
    }

    /** Records whether home served a request that tried it. */
    void recordOutcome(double nowMs, boolean served) {
        outcomes.add(nowMs, served);
        consecutiveFailures = served ? 0 : consecutiveFailures + 1;
        consecutiveSuccesses = served ? consecutiveSuccesses + 1 : 0;
        switch (state) {
            case HOME, RETURNING -> {
                boolean mostlyFailing = outcomes.total(nowMs) >= MIN_SAMPLES
                        && outcomes.failureRatio(nowMs) > AWAY_FAILURE_RATIO;
                if (mostlyFailing || countStreaks && consecutiveFailures >= FAILURE_STREAK) {
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
        boolean returnFailed = state == State.RETURNING || nowMs - stateSinceMs < BACKOFF_RESET_MS
                && probeIntervalMs > INITIAL_PROBE_INTERVAL_MS;
        probeIntervalMs = returnFailed ? Math.min(MAX_PROBE_INTERVAL_MS, 2 * probeIntervalMs)
                : nowMs - stateSinceMs >= BACKOFF_RESET_MS ? INITIAL_PROBE_INTERVAL_MS : probeIntervalMs;
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
