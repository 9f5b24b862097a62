package ridgemill.bench.scale;

import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * A straight line through measured points, by least squares.
 *
 * @param slope by how much the measure grows with each unit of the knob
 * @param intercept the measure where the knob is 0
 * @param residual the root of the mean square of what the points differ from the line by
 * @param points how many points there were
 */
public record Line(double slope, double intercept, double residual, int points) {

    /** The line through the points of one series; the value of the knob is each point's own. */
    public static Line through(List<ScalePoint> series, ToDoubleFunction<ScalePoint> measure) {
        int count = series.size();
        double meanX = series.stream().mapToDouble(ScalePoint::value).average().orElse(Double.NaN);
        double meanY = series.stream().mapToDouble(measure).average().orElse(Double.NaN);
        double covariance = 0;
        double variance = 0;
        for (ScalePoint point : series) {
            double fromMean = point.value() - meanX;
            covariance += fromMean * (measure.applyAsDouble(point) - meanY);
            variance += fromMean * fromMean;
        }
        double slope = covariance / variance;
        double intercept = meanY - slope * meanX;
        double squares = 0;
        for (ScalePoint point : series) {
            double off = measure.applyAsDouble(point) - intercept - slope * point.value();
            squares += off * off;
        }
        return new Line(slope, intercept, Math.sqrt(squares / count), count);
    }

    /** The measure at a value of the knob. */
    public double at(double value) {
        return intercept + slope * value;
    }
}
