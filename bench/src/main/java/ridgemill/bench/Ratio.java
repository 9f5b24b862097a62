package ridgemill.bench;

import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;

/**
 * How two series compare that were measured in turn: the ratio of each round's two figures, and the least, middle and greatest
 * of these. A machine that drifts within a run moves both figures of a round alike.
 */
record Ratio(double least, double median, double most) {

    /** Of so many rounds as both have. */
    static Ratio of(List<Double> own, List<Double> other) {
        double[] each = IntStream.range(0, Math.min(own.size(), other.size()))
                .mapToDouble(i -> own.get(i) / other.get(i))
                .sorted()
                .toArray();
        return each.length == 0
                ? new Ratio(Double.NaN, Double.NaN, Double.NaN)
                : new Ratio(each[0], each[each.length / 2], each[each.length - 1]);
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%.2f (%.2f to %.2f)", median, least, most);
    }
}
