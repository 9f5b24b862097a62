package ridgemill.cdn.edge;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import ridgemill.policy.AdmissionLevel;

/** The level, the bank and the ladder of one service. */
class ServiceAdmissionTest {

    private static final double BASE = 20;
    private static final int TOP = 6;
    private static final int MANY = 1_000;

    private double nowMs;
    private final ServiceAdmission admission = new ServiceAdmission(0.5, nowMs);

    private void interval(int good, int bad) {
        for (int i = 0; i < good + bad; i++) {
            admission.countAttempt(i < good);
        }
        nowMs += ServiceAdmission.INTERVAL_MS;
        assertThat(admission.isIntervalOver(nowMs)).isTrue();
        admission.endInterval(nowMs, 0);
    }

    /** Intervals from which the base becomes 20 a second. */
    private void learn() {
        for (int i = 0; i < 10; i++) {
            interval((int) (BASE * ServiceAdmission.INTERVAL_MS / 1_000), 0);
        }
        assertThat(admission.snapshot().baseline()).isEqualTo(BASE);
    }

    private void rise(int level) {
        learn();
        for (int i = 0; i < level; i++) {
            interval(30, 30);
        }
        assertThat(admission.level()).isEqualTo(level);
    }

    /** How many draws of the highest worth pass in so many milliseconds of pressing. */
    private int drawn(double lastingMs) {
        int drawn = 0;
        for (double endMs = nowMs + lastingMs; nowMs < endMs; nowMs++) {
            drawn += admission.tryAdmit(nowMs, 0) ? 1 : 0;
        }
        return drawn;
    }

    @Test
    void theLevelRisesAboveATenthOfBadAndFallsBelowATwentieth() {
        learn();
        interval(90, 10);
        assertThat(admission.level()).as("a tenth").isZero();
        interval(89, 11);
        assertThat(admission.level()).as("more than a tenth").isEqualTo(1);
        interval(80, 20);
        assertThat(admission.level()).isEqualTo(2);
        interval(92, 8);
        assertThat(admission.level()).as("between").isEqualTo(2);
        interval(95, 5);
        assertThat(admission.level()).as("a twentieth").isEqualTo(2);
        interval(96, 4);
        assertThat(admission.level()).as("less than a twentieth").isEqualTo(1);
    }

    @Test
    void aThinSampleLetsTheLevelFall() {
        rise(2);
        interval(0, 3);
        assertThat(admission.level()).isEqualTo(1);
        interval(0, 0);
        assertThat(admission.level()).isZero();
    }

    @Test
    void theFirstIntervalsRaiseNothing() {
        interval(0, 50);
        assertThat(admission.level()).isZero();
    }

    @Test
    void theTopLevelsAreBelowTheBaseAndTheLadderEnds() {
        rise(1);
        int before = Integer.MAX_VALUE;
        for (int level = 1; level <= TOP; level++) {
            assertThat(admission.level()).isEqualTo(level);
            drawn(2_000);
            int drawn = drawn(10_000);
            assertThat(drawn).as("level %d", level).isLessThan(before);
            before = drawn;
            if (level > 2) {
                assertThat(drawn).as("level %d", level).isLessThan((int) (10 * BASE));
            }
            interval(0, 50);
        }
        assertThat(admission.level()).isEqualTo(TOP);
        assertThat(before).as("some go on at the top").isBetween((int) BASE, (int) (5 * BASE));
    }

    @Test
    void theBaseIsHeldWhileThrottled() {
        rise(TOP);
        for (int i = 0; i < 20; i++) {
            interval(4, 1);
        }
        assertThat(admission.level()).isEqualTo(TOP);
        assertThat(admission.snapshot().baseline()).isEqualTo(BASE);
    }

    @Test
    void lowWorthLeavesTheLastToken() {
        rise(TOP);
        nowMs += 10_000;
        assertThat(admission.tryAdmit(nowMs, 0)).isTrue();
        int low = 0;
        while (low < MANY && admission.tryAdmit(nowMs, 3)) {
            low++;
        }
        assertThat(low).isEqualTo(2);
        assertThat(admission.tryAdmit(nowMs, 0)).as("higher worth").isTrue();
        assertThat(admission.tryAdmit(nowMs, 0)).as("higher worth, empty").isFalse();
    }

    @Test
    void workForNobodyLeavesTheLastTokenToo() {
        assertThat(admission.tryAdmitBackground(nowMs)).isTrue();
        rise(TOP);
        nowMs += 10_000;
        int drawn = 0;
        while (drawn < MANY && admission.tryAdmitBackground(nowMs)) {
            drawn++;
        }
        assertThat(drawn).isEqualTo(3);
        assertThat(admission.tryAdmit(nowMs, 0)).isTrue();
    }

    @Test
    void anEmptyBankRefusesAtOnceAndTellsAWait() {
        rise(TOP);
        int drawn = 0;
        while (drawn < MANY && admission.tryAdmit(nowMs, 0)) {
            drawn++;
        }
        assertThat(drawn).isLessThan(MANY);
        double waitMs = admission.retryAfterMs();
        assertThat(waitMs).isEqualTo(1_000 / (0.3 * BASE));
        assertThat(admission.tryAdmit(nowMs + waitMs * 0.9, 0)).isFalse();
        assertThat(admission.tryAdmit(nowMs + waitMs * 1.01, 0)).isTrue();
    }

    @Test
    void nobodyIsToldToWaitLong() {
        admission.restore(new AdmissionLevel.Snapshot(TOP, 1, 1, 9), 0);
        assertThat(admission.retryAfterMs()).isEqualTo(1_000);
    }

    @Test
    void levelZeroRefusesNothing() {
        for (int i = 0; i < 1_000; i++) {
            assertThat(admission.tryAdmit(0, i % 4)).isTrue();
        }
        assertThat(admission.retryAfterMs()).isZero();
    }

    @Test
    void brokenConnectionsCountUnlessTheyBreakAnyway() {
        learn();
        for (int i = 0; i < 50; i++) {
            admission.countConnectionFailure();
        }
        admission.endInterval(nowMs += ServiceAdmission.INTERVAL_MS, 1);
        assertThat(admission.level()).as("not the service's doing").isZero();
        for (int i = 0; i < 50; i++) {
            admission.countConnectionFailure();
        }
        admission.endInterval(nowMs += ServiceAdmission.INTERVAL_MS, 0);
        assertThat(admission.level()).isEqualTo(1);
    }
}
