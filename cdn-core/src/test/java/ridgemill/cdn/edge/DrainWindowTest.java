package ridgemill.cdn.edge;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class DrainWindowTest {

    private static final DrainWindow WINDOW = new DrainWindow(3_000, 5_400);

    @Test
    void processThatIsNotStoppingAllowsEachRequest() {
        assertThat(DrainWindow.OPEN.allows(1e12, Double.POSITIVE_INFINITY)).isTrue();
    }

    @Test
    void eachRequestIsAllowedWhileTheWindowIsOpen() {
        assertThat(WINDOW.allows(2_999, Double.POSITIVE_INFINITY)).isTrue();
    }

    @Test
    void laterOnlyRequestsThatEndInTimeAreAllowed() {
        assertThat(WINDOW.allows(3_000, 5_400)).isTrue();
        assertThat(WINDOW.allows(3_000, 5_401)).isFalse();
        assertThat(WINDOW.allows(5_300, Double.POSITIVE_INFINITY)).isFalse();
    }
}
