package ridgemill.bench.scale;

import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;

/** Works the target size out of measured points: slopes times the size, part by part. */
final class Model {

    static final String PROXIES = "proxies";
    static final String PURGES_AT_50 = "purges-at-50";
    static final String PURGES_AT_200 = "purges-at-200";
    static final String PURGES_AT_MOST = "purges-at-1300";
    static final String CHANGES_AT_200 = "changes-at-200";
    static final String CHANGES_AT_MOST = "changes-at-1300";
    static final String KEYS_AT_200 = "keys-at-200";
    static final String STATES_AT_200 = "states-at-200";
    static final String INSTANCES_AT_100 = "instances-at-100";
    static final String ROUTES_AT_100 = "routes-at-100";
    static final String REGISTRIES_AT_100 = "registries-at-100";

    private static final double FEW = 50;
    private static final double MANY = 200;
    private static final double PLAYED_REGISTRIES = 3;

    private final List<ScalePoint> points;

    Model(List<ScalePoint> points) {
        this.points = List.copyOf(points);
    }

    /**
     * One part of what a process bears.
     *
     * @param name what it bears
     * @param from how the amount was worked out
     * @param amount the amount of each measure
     */
    record Part(String name, String from, ToDoubleFunction<Measure> amount) {

        double of(Measure measure) {
            return amount.applyAsDouble(measure);
        }
    }

    List<ScalePoint> series(String name) {
        return points.stream().filter(point -> point.series().equals(name)).toList();
    }

    Line line(String series, Measure measure) {
        return Line.through(series(series), measure::of);
    }

    /** The point of a series at which its knob stood highest. */
    ScalePoint highest(String series) {
        return series(series).stream()
                .max(Comparator.comparingDouble(ScalePoint::value))
                .orElseThrow();
    }

    /** The largest value of a measure that any point shows. */
    double most(Measure measure) {
        return points.stream().mapToDouble(measure::of).max().orElse(Double.NaN);
    }

    List<Part> proxyParts() {
        return List.of(
                at("links to 18 registries and 3 stores, at rest", REGISTRIES_AT_100, Target.CORE_MACHINES),
                slope("310 instances, at rest", INSTANCES_AT_100, Target.INSTANCES),
                slope("27 purges/s", PURGES_AT_200, Target.PURGES_PER_S),
                slope("7,000 changes a day", CHANGES_AT_200, Target.CHANGES_PER_S),
                slope(
                        "208 comings and leavings a day, from 18 registries",
                        STATES_AT_200,
                        Target.STATES_PER_S * Target.CORE_MACHINES / PLAYED_REGISTRIES));
    }

    List<Part> registryParts() {
        double morePeers = Target.CORE_MACHINES - PLAYED_REGISTRIES;
        return List.of(
                at("links of 1,300 edge proxies, at rest", PROXIES, Target.PROXIES),
                new Part(
                        "all names told to 15 more registries: no more than this",
                        "slope of proxies x 1,300 x 15/2, as if it were all for the two others",
                        measure ->
                                line(PROXIES, measure).slope() * Target.PROXIES * morePeers / (PLAYED_REGISTRIES - 1)),
                slope("heartbeats of 310 instances", INSTANCES_AT_100, Target.INSTANCES),
                slope("a third of 27 purges/s", PURGES_AT_200, Target.PURGES_PER_S),
                slope("a third of 7,000 changes a day", CHANGES_AT_200, Target.CHANGES_PER_S),
                slope("208 comings and leavings a day", STATES_AT_200, Target.STATES_PER_S * Target.PROXIES / MANY));
    }

    /**
     * Bytes and messages of a link between one server and one edge proxy at rest: what one more registry adds
     * to an edge proxy.
     */
    double ofLink(Measure measure) {
        return line(REGISTRIES_AT_100, measure).slope();
    }

    /** What one operation a second adds to the link between one of the three servers that tell it and an edge proxy. */
    double ofOperation(String series, Measure measure) {
        return line(series, measure).slope() / PLAYED_REGISTRIES;
    }

    List<Part> storeParts() {
        return List.of(
                at("links of 1,300 edge proxies, at rest", PROXIES, Target.PROXIES),
                new Part(
                        "27 purges/s to 1,300 edge proxies",
                        "(a + b x 1,300) x 27 of " + PURGES_AT_50 + ", " + PURGES_AT_200,
                        measure -> purgeSlope(measure, Target.PROXIES) * Target.PURGES_PER_S),
                slope(
                        "7,000 changes a day to 1,300 edge proxies",
                        CHANGES_AT_200,
                        Target.CHANGES_PER_S * Target.PROXIES / MANY));
    }

    /** What one purge a second costs before so many edge proxies: a part for itself and one for each of them. */
    double purgeSlope(Measure measure, double proxies) {
        double few = line(PURGES_AT_50, measure).slope();
        double many = line(PURGES_AT_200, measure).slope();
        double ofEach = (many - few) / (MANY - FEW);
        return Math.max(0, few + ofEach * (proxies - FEW));
    }

    private Part at(String name, String series, double value) {
        String from = String.format(java.util.Locale.ROOT, "line of %s at %,.0f", series, value);
        return new Part(name, from, measure -> line(series, measure).at(value));
    }

    /** Slopes below zero are noise, as no load makes a process cheaper: they count as nothing. */
    private Part slope(String name, String series, double units) {
        String from = String.format(
                java.util.Locale.ROOT, units < 1 ? "slope of %s x %.3g" : "slope of %s x %,.0f", series, units);
        return new Part(name, from, measure -> Math.max(0, line(series, measure).slope()) * units);
    }

    static double sum(List<Part> parts, Measure measure) {
        return parts.stream().mapToDouble(part -> part.of(measure)).sum();
    }
}
