package ridgemill.bench;

import static ridgemill.bench.Subject.median;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import ridgemill.testbed.discovery.DiscoveryStandIn;
import ridgemill.testbed.ledger.Ledger;

/**
 * What a proxy itself costs: processor time a request, requests a second on one core, added latency and memory, for
 * ridgemill as a deployment runs it, other builds of it and a bare relay, in front of the same nodes, in turn in one run.
 */
@Command(
        name = "proxy-cost",
        mixinStandardHelpOptions = true,
        description = "Measures ridgemill, other builds of it and "
                + "a bare relay side by side; each runs on one core, the clients and the nodes on others.")
public final class ProxyCost extends CoreMeasurement {

    private static final int NODES = 6;

    @Option(
            names = "--seconds",
            paramLabel = "N",
            defaultValue = "6",
            description = "Length of each measurement (default: ${DEFAULT-VALUE}).")
    private int seconds;

    @Option(
            names = "--rounds",
            paramLabel = "N",
            defaultValue = "3",
            description = "How often all are measured in turn; the median counts (default: ${DEFAULT-VALUE}).")
    private int rounds;

    @Option(
            names = "--rate",
            paramLabel = "N",
            defaultValue = "1000",
            description = "Requests a second where the rate is set (default: ${DEFAULT-VALUE}).")
    private int rate;

    @Option(
            names = "--warm-up",
            paramLabel = "N",
            defaultValue = "5",
            description = "Seconds under full load before the first measurement (default: ${DEFAULT-VALUE}).")
    private int warmUp;

    @Option(names = "--before", paramLabel = "ROOT", description = Build.BEFORE)
    private List<Path> before = List.of();

    @Option(
            names = "--operator-file",
            paramLabel = "FILE",
            description = "This build under such a file as well, in turn with the others.")
    private List<Path> files = List.of();

    /** The figures of one proxy, one value a round. */
    private static final class Figures {
        final List<Double> perSecond = new ArrayList<>();
        final List<Double> cpuMicros = new ArrayList<>();
        final List<Double> p50 = new ArrayList<>();
        final List<Double> p99 = new ArrayList<>();
        final List<Double> memoryMb = new ArrayList<>();
        int failed;
    }

    public static void main(String[] args) {
        main(new ProxyCost(), args);
    }

    @Override
    void measure(Path directory) throws Exception {
        List<InetSocketAddress> nodes = nodes(NODES, () -> new FlatNode(nodeLoop).address());
        Map<String, Figures> figures = new LinkedHashMap<>();
        try (DiscoveryStandIn discovery = new DiscoveryStandIn(otherLoop, new Ledger(), "bench");
                Subjects all = new Subjects()) {
            all.add(ridgemill(discovery, nodes, directory, List.of()));
            for (Path root : before) {
                all.add(ridgemill(Build.other(root), discovery, nodes, directory, List.of()));
            }
            for (Path file : files) {
                all.add(ridgemill(
                        new Build("under " + file.getFileName(), Build.THIS.root()),
                        discovery,
                        nodes,
                        directory,
                        List.of(),
                        "--operator-file",
                        file.toAbsolutePath().toString()));
            }
            all.add(Relay.start(nodes, String.valueOf(core), 1, Subject.runOptions(), directory));
            List<Subject> subjects = all.list();
            // The clients' own code is warm before anything counts, and so is each proxy's.
            Pressure.run(clientLoop, nodes.get(0), CONNECTIONS, 0, warmUp);
            for (Subject s : subjects) {
                Pressure.run(clientLoop, s.address(), CONNECTIONS, 0, warmUp);
            }
            for (int round = 0; round < rounds; round++) {
                Figures direct = figures.computeIfAbsent("none", n -> new Figures());
                Pressure.Result straight = Pressure.run(clientLoop, nodes.get(0), CONNECTIONS, rate, seconds);
                direct.p50.add(straight.p50());
                direct.p99.add(straight.p99());
                for (Subject s : subjects) {
                    Figures f = figures.computeIfAbsent(s.name(), n -> new Figures());
                    Pressure.Result full = Pressure.run(clientLoop, s.address(), CONNECTIONS, 0, seconds);
                    f.perSecond.add(full.perSecond());
                    double used = s.cpuMicros();
                    Pressure.Result set = Pressure.run(clientLoop, s.address(), CONNECTIONS, rate, seconds);
                    f.cpuMicros.add((s.cpuMicros() - used) / Math.max(1, set.answered()));
                    f.p50.add(set.p50());
                    f.p99.add(set.p99());
                    f.memoryMb.add(s.memoryMb());
                    f.failed += full.failed() + set.failed();
                }
            }
        }
        print(figures);
    }

    private void print(Map<String, Figures> figures) {
        System.out.printf(
                Locale.ROOT,
                "one core each, %d connections, %d nodes, medians of %d rounds of %d s%n",
                CONNECTIONS,
                NODES,
                rounds,
                seconds);
        System.out.printf(
                "%-20s %14s %22s %12s %12s %10s %8s%n",
                "proxy",
                "requests/s",
                "CPU us/request at " + rate + "/s",
                "added p50 us",
                "added p99 us",
                "memory MB",
                "failed");
        Figures direct = figures.get("none");
        figures.forEach((name, f) -> {
            if (f != direct) {
                System.out.printf(
                        Locale.ROOT,
                        "%-20s %14.0f %22.1f %12.0f %12.0f %10.1f %8d%n",
                        name,
                        median(f.perSecond),
                        median(f.cpuMicros),
                        median(f.p50) - median(direct.p50),
                        median(f.p99) - median(direct.p99),
                        median(f.memoryMb),
                        f.failed);
            }
        });
        Figures own = figures.get(Build.THIS.name());
        figures.forEach((name, f) -> {
            if (f != direct && f != own) {
                System.out.printf(
                        Locale.ROOT,
                        "ridgemill / %s, median of the rounds (least to most): requests/s %s, CPU a request %s, "
                                + "memory %s%n",
                        name,
                        Ratio.of(own.perSecond, f.perSecond),
                        Ratio.of(own.cpuMicros, f.cpuMicros),
                        Ratio.of(own.memoryMb, f.memoryMb));
            }
        });
    }
}
