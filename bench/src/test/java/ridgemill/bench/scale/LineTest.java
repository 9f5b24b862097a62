package ridgemill.bench.scale;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.junit.jupiter.api.Test;

class LineTest {

    private static final double EXACT = 1e-9;
    private static final Times NO_TIMES = new Times(0, 0, Double.NaN, Double.NaN, Double.NaN);

    @Test
    void aLineThroughPointsOfALineIsThatLine() {
        Line line = Line.through(List.of(point(1, 5), point(2, 7), point(4, 11)), Measure.STORE_CPU::of);
        assertThat(line.slope()).isEqualTo(2, within(EXACT));
        assertThat(line.intercept()).isEqualTo(3, within(EXACT));
        assertThat(line.residual()).isEqualTo(0, within(EXACT));
        assertThat(line.at(10)).isEqualTo(23, within(EXACT));
    }

    @Test
    void theResidualIsTheRootOfTheMeanSquareOfWhatIsOff() {
        Line line = Line.through(List.of(point(0, 1), point(0, -1), point(2, 1), point(2, -1)), Measure.STORE_CPU::of);
        assertThat(line.slope()).isEqualTo(0, within(EXACT));
        assertThat(line.residual()).isEqualTo(1, within(EXACT));
    }

    private static ScalePoint point(double value, double storeCpu) {
        RoleCost nothing = new RoleCost(0, 0, 0, 0, 0);
        return new ScalePoint(
                "s",
                value,
                1,
                new Conditions(1, 1, 1, 1, 0, 0, 0, 0),
                nothing,
                new RoleCost(storeCpu, 0, 0, 0, 0),
                nothing,
                new Traffic(0, 0, 0, 0),
                NO_TIMES,
                NO_TIMES,
                NO_TIMES,
                NO_TIMES,
                0);
    }
}
