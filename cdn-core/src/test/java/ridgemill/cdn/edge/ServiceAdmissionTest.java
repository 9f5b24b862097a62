package ridgemill.cdn.edge;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import ridgemill.policy.AdmissionLevel;

/** The level, the token bank and the refill rates of one service. */
class ServiceAdmissionTest {

    private static final double BASE_PER_SECOND = 20;
    private static final int TOP_LEVEL = 6;
    private static final int MAX_REQUESTS = 1_000;

    private double nowMs;
    private final ServiceAdmission admission = new ServiceAdmission(0.5, nowMs);

    private void runInterval(int good, int bad) {
        for (int i = 0; i < good + bad; i++) {
            admission.countAttempt(i < good);
        }
        nowMs += ServiceAdmission.INTERVAL_MS;
        assertThat(admission.isIntervalOver(nowMs)).isTrue();
        admission.endInterval(nowMs, 0);
    }

    /** Runs intervals from which the base rate becomes 20 per second. */
    private void learnBaseRate() {
        for (int i = 0; i < 10; i++) {
            runInterval((int) (BASE_PER_SECOND * ServiceAdmission.INTERVAL_MS / 1_000), 0);
        }
        assertThat(admission.snapshot().baseline()).isEqualTo(BASE_PER_SECOND);
    }

    private void raiseTo(int level) {
        learnBaseRate();
        for (int i = 0; i < level; i++) {
            runInterval(30, 30);
        }
        assertThat(admission.level()).isEqualTo(level);
    }

    /** The number of requests of the highest priority that are admitted if one is made every millisecond for a time. */
    private int countAdmitted(double durationMs) {
        int admitted = 0;
        for (double endMs = nowMs + durationMs; nowMs < endMs; nowMs++) {
            admitted += admission.tryAdmit(nowMs, 0) ? 1 : 0;
        }
        return admitted;
    }

    @Test
    void levelRisesAboveTenPercentBadAndFallsBelowFivePercent() {
        learnBaseRate();
        runInterval(90, 10);
        assertThat(admission.level()).as("a tenth").isZero();
        runInterval(89, 11);
        assertThat(admission.level()).as("more than a tenth").isEqualTo(1);
        runInterval(80, 20);
        assertThat(admission.level()).isEqualTo(2);
        runInterval(92, 8);
        assertThat(admission.level()).as("between").isEqualTo(2);
        runInterval(95, 5);
        assertThat(admission.level()).as("a twentieth").isEqualTo(2);
        runInterval(96, 4);
        assertThat(admission.level()).as("less than a twentieth").isEqualTo(1);
    }

    @Test
    void smallSampleLowersLevel() {
        raiseTo(2);
        runInterval(0, 3);
        assertThat(admission.level()).isEqualTo(1);
        runInterval(0, 0);
        assertThat(admission.level()).isZero();
    }

    @Test
    void firstIntervalsDoNotRaiseLevel() {
        runInterval(0, 50);
        assertThat(admission.level()).isZero();
    }

    @Test
    void topLevelsAllowLessThanBaseRate() {
        raiseTo(1);
        int previous = Integer.MAX_VALUE;
        for (int level = 1; level <= TOP_LEVEL; level++) {
            assertThat(admission.level()).isEqualTo(level);
            countAdmitted(2_000);
            int admitted = countAdmitted(10_000);
            assertThat(admitted).as("level %d", level).isLessThan(previous);
            previous = admitted;
            if (level > 2) {
                assertThat(admitted).as("level %d", level).isLessThan((int) (10 * BASE_PER_SECOND));
            }
            runInterval(0, 50);
        }
        assertThat(admission.level()).isEqualTo(TOP_LEVEL);
        assertThat(previous).as("some are admitted at the top level").isBetween((int) BASE_PER_SECOND, (int)
                (5 * BASE_PER_SECOND));
    }

    @Test
    void baseRateIsUnchangedWhileThrottled() {
        raiseTo(TOP_LEVEL);
        for (int i = 0; i < 20; i++) {
            runInterval(4, 1);
        }
        assertThat(admission.level()).isEqualTo(TOP_LEVEL);
        assertThat(admission.snapshot().baseline()).isEqualTo(BASE_PER_SECOND);
    }

    @Test
    void lowPriorityLeavesLastToken() {
        raiseTo(TOP_LEVEL);
        nowMs += 10_000;
        assertThat(admission.tryAdmit(nowMs, 0)).isTrue();
        int admitted = 0;
        while (admitted < MAX_REQUESTS && admission.tryAdmit(nowMs, 3)) {
            admitted++;
        }
        assertThat(admitted).isEqualTo(2);
        assertThat(admission.tryAdmit(nowMs, 0)).as("higher priority").isTrue();
        assertThat(admission.tryAdmit(nowMs, 0)).as("higher priority, empty").isFalse();
    }

    @Test
    void backgroundWorkLeavesLastToken() {
        assertThat(admission.tryAdmitBackground(nowMs)).isTrue();
        raiseTo(TOP_LEVEL);
        nowMs += 10_000;
        int admitted = 0;
        while (admitted < MAX_REQUESTS && admission.tryAdmitBackground(nowMs)) {
            admitted++;
        }
        assertThat(admitted).isEqualTo(3);
        assertThat(admission.tryAdmit(nowMs, 0)).isTrue();
    }

    @Test
    void emptyBankRefusesWithRetryDelay() {
        raiseTo(TOP_LEVEL);
        int admitted = 0;
        while (admitted < MAX_REQUESTS && admission.tryAdmit(nowMs, 0)) {
            admitted++;
        }
        assertThat(admitted).isLessThan(MAX_REQUESTS);
        double waitMs = admission.retryAfterMs();
        assertThat(waitMs).isEqualTo(1_000 / (0.3 * BASE_PER_SECOND));
        assertThat(admission.tryAdmit(nowMs + waitMs * 0.9, 0)).isFalse();
        assertThat(admission.tryAdmit(nowMs + waitMs * 1.01, 0)).isTrue();
    }

    @Test
    void retryDelayIsLimited() {
        admission.restore(new AdmissionLevel.Snapshot(TOP_LEVEL, 1, 1, 9), 0);
        assertThat(admission.retryAfterMs()).isEqualTo(1_000);
    }

    @Test
    void levelZeroAdmitsEverything() {
        for (int i = 0; i < 1_000; i++) {
            assertThat(admission.tryAdmit(0, i % 4)).isTrue();
        }
        assertThat(admission.retryAfterMs()).isZero();
    }

    @Test
    void connectionFailuresCountUnlessUsual() {
        learnBaseRate();
        for (int i = 0; i < 50; i++) {
            admission.countConnectionFailure();
        }
        admission.endInterval(nowMs += ServiceAdmission.INTERVAL_MS, 1);
        assertThat(admission.level()).as("not caused by the service").isZero();
        for (int i = 0; i < 50; i++) {
            admission.countConnectionFailure();
        }
        admission.endInterval(nowMs += ServiceAdmission.INTERVAL_MS, 0);
        assertThat(admission.level()).isEqualTo(1);
    }
}
