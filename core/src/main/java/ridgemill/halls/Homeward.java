package ridgemill.halls;

/**
 * Whether the next request of one class tries home first or goes across at once. It goes away when home serves less than
 * half of what it is asked, looks now and then whether home serves again, and comes back by degrees, so that a home that
 * has just recovered is not met by everything at once. Each return that fails makes the looks rarer for a while, and what
 * sends requests away (half) is far from what lets them come home (nine of ten): there is no point around which it could
 * swing.
 */
final class Homeward {

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
    private static final int LEAST = 5;
    private static final double AWAY_AT_BAD = 0.5;
    private static final double BACK_AT_BAD = 0.1;
    private static final double SHAKY = 0.05;
    /** So many in a row and no other between them: for classes that are asked for too seldom to fill the window. */
    private static final int STREAK = 3;
    private static final int LOOKS = 3;
    private static final double LOOK_MS = 500;
    private static final double MOST_LOOK_MS = 8000;
    private static final double FIRST_SHARE = 0.1;
    private static final double STEP_MS = 1000;
    /** After so long at home without going away the looks are as often as at first. */
    private static final double FORGET_MS = 60_000;

    private final boolean streaks;
    private final Recent recent = new Recent(WINDOW_MS);
    private State state = State.HOME;
    private double since;
    private double lookAt;
    private double lookMs = LOOK_MS;
    private double share = 1;
    private double credit;
    private int badInRow;
    private int goodInRow;

    /** {@code streaks} says whether a few failures in a row count, which they must not where some always fail. */
    Homeward(boolean streaks) {
        this.streaks = streaks;
    }

    State state() {
        return state;
    }

    /** Whether home has of late failed often enough for others to be kept ready. */
    boolean isShaky(double nowMs) {
        return state != State.HOME || recent.badShare(nowMs) > SHAKY;
    }

    /** The part that tries home first, 0 to 1. */
    double share() {
        return state == State.HOME ? 1 : state == State.AWAY ? 0 : share;
    }

    /** Whether the next request tries home first. */
    boolean homeFirst(double nowMs) {
        if (state == State.AWAY) {
            if (nowMs < lookAt) {
                return false;
            }
            lookAt = nowMs + lookMs;
            return true;
        }
        if (state == State.RETURNING) {
            step(nowMs);
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
    void outcome(double nowMs, boolean served) {
        recent.add(nowMs, served);
        badInRow = served ? 0 : badInRow + 1;
        goodInRow = served ? goodInRow + 1 : 0;
        switch (state) {
            case HOME, RETURNING -> {
                boolean mostly = recent.total(nowMs) >= LEAST && recent.badShare(nowMs) > AWAY_AT_BAD;
                if (mostly || streaks && badInRow >= STREAK) {
                    away(nowMs);
                }
            }
            case AWAY -> {
                if (goodInRow >= LOOKS) {
                    enter(nowMs, State.RETURNING);
                    share = FIRST_SHARE;
                }
            }
        }
    }

    private void step(double nowMs) {
        if (nowMs - since < STEP_MS) {
            return;
        }
        since = nowMs;
        if (recent.badShare(nowMs) > BACK_AT_BAD) {
            return;
        }
        share *= 2;
        if (share >= 1) {
            enter(nowMs, State.HOME);
        }
    }

    private void away(double nowMs) {
        boolean fellBack = state == State.RETURNING || nowMs - since < FORGET_MS && lookMs > LOOK_MS;
        lookMs = fellBack ? Math.min(MOST_LOOK_MS, 2 * lookMs) : nowMs - since >= FORGET_MS ? LOOK_MS : lookMs;
        enter(nowMs, State.AWAY);
        lookAt = nowMs + lookMs;
    }

    private void enter(double nowMs, State next) {
        state = next;
        since = nowMs;
        goodInRow = 0;
        badInRow = 0;
        credit = 0;
        recent.clear();
    }
}
