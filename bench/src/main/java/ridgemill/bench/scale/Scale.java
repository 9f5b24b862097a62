package ridgemill.bench.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Turns one knob of the control plane's size at a time and measures what real registries, stores and an edge proxy use.
 * The points go to a file, from which {@link Capacity} works out the target size.
 */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        description = "Measures what the control plane costs by edge proxies, instances, changes, purges and keys.")
public final class Scale implements Callable<Integer> {

    private static final int LEAST_PROXIES = 10;
    private static final int ADDITIONS_PROXIES = 100;
    private static final int BASE_INSTANCES = 10;
    private static final int BASE_ROUTES = 100;
    private static final Rates ALL = new Rates(4, 10, 50, 4);
    private static final Rates PROBES = new Rates(2, 5, 10, 2);
    private static final long WARM_UP_MS = 10_000;
    private static final long PROBE_MS = 2_500;

    @Option(
            names = "--window",
            paramLabel = "MS",
            defaultValue = "5000",
            description = "Length of each point in milliseconds (default: ${DEFAULT-VALUE}).")
    private long windowMs;

    @Option(
            names = "--most",
            paramLabel = "N",
            defaultValue = "1300",
            description = "The largest number of edge proxies (default: ${DEFAULT-VALUE}).")
    private int most;

    @Option(
            names = "--out",
            paramLabel = "FILE",
            defaultValue = "bench/target/scale.csv",
            description = "Where the points go (default: ${DEFAULT-VALUE}).")
    private Path out;

    private final List<ScalePoint> points = new ArrayList<>();
    private Rig rig;

    /** Runs the measurement. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new Scale()).execute(args));
    }

    private interface Plan {

        void run() throws IOException, InterruptedException;
    }

    @Override
    public Integer call() throws Exception {
        try {
            onNewRig(this::measureRates);
            onNewRig(this::measureAdditions);
        } finally {
            ScaleFile.write(out, points);
        }
        printFits();
        return 0;
    }

    private void onNewRig(Plan plan) throws IOException, InterruptedException {
        Path directory = Files.createTempDirectory("ridgemill-scale");
        try (Rig started = Rig.start(directory, windowMs, BASE_INSTANCES, BASE_ROUTES)) {
            rig = started;
            rig.fleet().growTo(LEAST_PROXIES - 1);
            rig.warmUp(ALL, WARM_UP_MS);
            plan.run();
        } finally {
            delete(directory);
        }
    }

    /** All that is turned by rates, and the number of edge proxies. */
    private void measureRates() throws IOException, InterruptedException {
        proxies(LEAST_PROXIES);
        ScalePoint at50 = proxies(50);
        turn("purges-at-50", at50, Rates::purges, 5, 15, 27);
        ScalePoint at200 = proxies(200);
        turn("purges-at-200", at200, Rates::purges, 5, 15, 27);
        turn("changes-at-200", at200, Rates::changes, 1, 2, 4);
        turn("keys-at-200", at200, Rates::keys, 50, 150, 300);
        turn("states-at-200", at200, Rates::states, 1, 2, 4);
        proxies(600);
        if (most > 600) {
            ScalePoint atMost = proxies(most);
            turn("purges-at-" + most, atMost, Rates::purges, 5);
            turn("changes-at-" + most, atMost, Rates::changes, 1);
        }
    }

    /** Instances, routes and registries, which stay once they are added, one after the other. */
    private void measureAdditions() throws IOException, InterruptedException {
        rig.fleet().growTo(ADDITIONS_PROXIES - 1);
        for (int instances : List.of(BASE_INSTANCES, 50, 150, 310)) {
            rig.instances(instances);
            add(rig.measure("instances-at-100", instances, Rates.NONE));
        }
        for (int routes : List.of(BASE_ROUTES, 400, 1_000)) {
            rig.routes(routes);
            add(rig.measure("routes-at-100", routes, Rates.changes(1)));
        }
        for (int registries : List.of(3, 6, 10)) {
            rig.registries(registries);
            add(rig.measure("registries-at-100", registries, Rates.NONE));
        }
    }

    private ScalePoint proxies(int count) throws IOException, InterruptedException {
        rig.fleet().growTo(count - 1);
        ScalePoint quiet = rig.measure("proxies", count, Rates.NONE);
        ScalePoint point = rig.withProbes(quiet, PROBES, PROBE_MS);
        add(point);
        return point;
    }

    private interface RatesOf {

        Rates at(double perS);
    }

    private void turn(String series, ScalePoint base, RatesOf rates, double... values)
            throws IOException, InterruptedException {
        points.add(base.in(series, 0));
        for (double value : values) {
            ScalePoint point = rig.measure(series, value, rates.at(value));
            add(point.in(series, countedRate(series, point.conditions())));
        }
    }

    /** The rate that was reached: on a busy machine it is not quite the one that was asked for. */
    private static double countedRate(String series, Conditions counted) {
        return switch (series.substring(0, series.indexOf('-'))) {
            case "purges" -> counted.purgesPerS();
            case "changes" -> counted.changesPerS();
            case "keys" -> counted.keysPerS();
            case "states" -> counted.statesPerS();
            default -> throw new IllegalArgumentException(series);
        };
    }

    private void add(ScalePoint point) {
        points.add(point);
        System.out.printf(
                Locale.ROOT,
                "%s=%.1f registry=%.2f%% store=%.2f%% proxy=%.2f%% rss=%.0f/%.0f/%.0fMB "
                        + "hollow=%.0f/%.0fB/s purge_p99=%.1fms change_p99=%.1fms state_p99=%.1fms "
                        + "bench=%.2f cores %s%n",
                point.series(),
                point.value(),
                point.registry().cpuPercent(),
                point.store().cpuPercent(),
                point.proxy().cpuPercent(),
                point.registry().rssMb(),
                point.store().rssMb(),
                point.proxy().rssMb(),
                point.hollow().inBytesPerS(),
                point.hollow().outBytesPerS(),
                point.purge().p99Ms(),
                point.change().p99Ms(),
                point.state().p99Ms(),
                point.benchCores(),
                rig.faults());
    }

    private void printFits() {
        List<String> series = points.stream().map(ScalePoint::series).distinct().toList();
        for (String name : series) {
            List<ScalePoint> own =
                    points.stream().filter(point -> point.series().equals(name)).toList();
            print(name, "registry cpu %", own, point -> point.registry().cpuPercent());
            print(name, "store cpu %", own, point -> point.store().cpuPercent());
            print(name, "proxy cpu %", own, point -> point.proxy().cpuPercent());
            print(name, "hollow in B/s", own, point -> point.hollow().inBytesPerS());
        }
    }

    private static void print(String series, String measure, List<ScalePoint> points, ToDoubleFunction<ScalePoint> of) {
        Line line = Line.through(points, of);
        System.out.printf(
                Locale.ROOT,
                "fit %s %s: slope=%.5g intercept=%.5g residual=%.3g points=%d%n",
                series,
                measure,
                line.slope(),
                line.intercept(),
                line.residual(),
                line.points());
    }

    private static void delete(Path directory) throws IOException {
        try (Stream<Path> paths = Files.walk(directory)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        }
    }
}
