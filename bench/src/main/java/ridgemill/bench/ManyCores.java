package ridgemill.bench;

import static ridgemill.bench.Subject.median;

import com.google.gson.JsonObject;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import ridgemill.gateway.net.SocketKind;
import ridgemill.testbed.discovery.DiscoveryStandIn;
import ridgemill.testbed.ledger.Ledger;

/**
 * How one gateway uses several cores: ridgemill with a loop for each, other builds of it and a bare relay with as many loops,
 * in turn, on the same cores and before the same nodes, with clients and nodes on the others. Requests a second
 * under full load, then times at set rates, counted from when each request was due.
 */
@Command(
        name = "many-cores",
        mixinStandardHelpOptions = true,
        description = "Measures ridgemill, other builds of it and a bare relay "
                + "on one, two and more cores, side by side.")
public final class ManyCores implements Callable<Integer> {

    private static final int NODES = 6;
    private static final int CONNECTIONS_A_CORE = 32;

    @Option(
            names = "--cores",
            paramLabel = "N",
            split = ",",
            defaultValue = "1,2,4",
            description = "How many cores the proxies have, one after the other (default: ${DEFAULT-VALUE}).")
    private List<Integer> cores;

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
            names = "--warm-up",
            paramLabel = "N",
            defaultValue = "20",
            description = "Seconds under full load before the first measurement (default: ${DEFAULT-VALUE}).")
    private int warmUp;

    @Option(
            names = "--body",
            paramLabel = "BYTES",
            defaultValue = "64",
            description = "Size of each answer's body (default: ${DEFAULT-VALUE}).")
    private int body;

    @Option(
            names = "--options",
            paramLabel = "FILE",
            defaultValue = "deploy/jvm/large.options",
            description = "The Java machine's options (default: ${DEFAULT-VALUE}).")
    private Path options;

    @Option(
            names = "--client-loops",
            paramLabel = "N",
            defaultValue = "2",
            description = "Loops that ask (default: ${DEFAULT-VALUE}).")
    private int clientLoops;

    @Option(
            names = "--node-loops",
            paramLabel = "N",
            defaultValue = "2",
            description = "Loops of nodes (default: ${DEFAULT-VALUE}).")
    private int nodeLoops;

    @Option(names = "--before", paramLabel = "ROOT", description = Build.BEFORE)
    private List<Path> before = List.of();

    /** The figures of one proxy on so many cores, one value a round. */
    private static final class Figures {
        final List<Double> perSecond = new ArrayList<>();
        final List<Double> cpuMicros = new ArrayList<>();
        final List<Double> memoryMb = new ArrayList<>();
        final Map<Integer, List<double[]>> times = new LinkedHashMap<>();
        int failed;
    }

    public static void main(String[] args) {
        System.exit(new CommandLine(new ManyCores()).execute(args));
    }

    @Override
    public Integer call() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(
                clientLoops + nodeLoops, SocketKind.chosen().handlers());
        // The testbed's stand-ins know the JDK's selectors alone.
        MultiThreadIoEventLoopGroup other = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            List<EventLoop> clients = loops(group, clientLoops);
            List<EventLoop> hosts = loops(group, nodeLoops);
            List<InetSocketAddress> nodes = new ArrayList<>();
            for (int i = 0; i < NODES; i++) {
                nodes.add(FlatNode.of(hosts.get(i % hosts.size()), body).address());
            }
            Pressure.Result straight = Pressure.run(clients, nodes.get(0), CONNECTIONS_A_CORE, 0, warmUp / 2.0);
            Pressure.Result direct = Pressure.run(clients, nodes.get(0), CONNECTIONS_A_CORE, 0, seconds);
            System.out.printf(
                    Locale.ROOT,
                    "no proxy, one node: %.0f requests/s (cold %.0f); %d client loops, %d node loops, bodies of "
                            + "%d bytes, medians of %d rounds of %d s%n",
                    direct.perSecond(),
                    straight.perSecond(),
                    clientLoops,
                    nodeLoops,
                    body,
                    rounds,
                    seconds);
            Map<String, Double> one = new LinkedHashMap<>();
            for (int n : cores) {
                measure(n, nodes, clients, other.next(), one);
            }
            return 0;
        } finally {
            group.shutdownGracefully();
            other.shutdownGracefully();
        }
    }

    private static List<EventLoop> loops(MultiThreadIoEventLoopGroup group, int count) {
        List<EventLoop> loops = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            loops.add(group.next());
        }
        return loops;
    }

    private void measure(
            int n, List<InetSocketAddress> nodes, List<EventLoop> clients, EventLoop other, Map<String, Double> one)
            throws Exception {
        String pinned = n == 1 ? "0" : "0-" + (n - 1);
        int connections = CONNECTIONS_A_CORE * n;
        Path directory = Files.createTempDirectory("ridgemill-bench");
        Map<String, Figures> figures = new LinkedHashMap<>();
        try (DiscoveryStandIn discovery = new DiscoveryStandIn(other, new Ledger(), "bench");
                Subjects all = new Subjects()) {
            JsonObject more = CoreMeasurement.known(discovery, nodes, 8192);
            Path file = Files.writeString(directory.resolve("gateway.toml"), "[process]\nloops = " + n + "\n");
            all.add(Subject.ridgemill(Build.THIS, more, pinned, directory, List.of(), options, file));
            for (Path root : before) {
                all.add(Subject.ridgemill(Build.other(root), more, pinned, directory, List.of(), options, file));
            }
            all.add(Relay.start(nodes, pinned, n, List.of("@" + options), directory));
            List<Subject> subjects = all.list();
            for (Subject s : subjects) {
                Pressure.run(clients, s.address(), connections, 0, warmUp);
            }
            for (int round = 0; round < rounds; round++) {
                for (Subject s : subjects) {
                    Figures f = figures.computeIfAbsent(s.name(), k -> new Figures());
                    double used = s.cpuMicros();
                    Pressure.Result full = Pressure.run(clients, s.address(), connections, 0, seconds);
                    f.perSecond.add(full.perSecond());
                    f.cpuMicros.add((s.cpuMicros() - used) / Math.max(1, full.answered()));
                    f.memoryMb.add(s.memoryMb());
                    f.failed += full.failed();
                }
            }
            for (int percent : List.of(50, 80)) {
                for (int round = 0; round < rounds; round++) {
                    for (Subject s : subjects) {
                        Figures f = figures.get(s.name());
                        Pressure.Result set = Pressure.run(
                                clients, s.address(), connections, median(f.perSecond) * percent / 100.0, seconds);
                        f.times
                                .computeIfAbsent(percent, k -> new ArrayList<>())
                                .add(new double[] {set.p50(), set.p99(), set.p999()});
                        f.failed += set.failed();
                    }
                }
            }
        }
        print(n, figures, one);
    }

    private static void print(int n, Map<String, Figures> figures, Map<String, Double> one) {
        System.out.printf(
                "%n%d cores%n%-20s %11s %8s %8s %9s %9s   %s%n",
                n,
                "proxy",
                "requests/s",
                "of one",
                "CPU us",
                "memory MB",
                "failed",
                "p50, p99, p99.9 us at 50% and 80% of its own full load");
        figures.forEach((name, f) -> {
            double perSecond = median(f.perSecond);
            one.putIfAbsent(name, perSecond);
            StringBuilder times = new StringBuilder();
            f.times.forEach((percent, all) -> {
                for (int i = 0; i < 3; i++) {
                    int k = i;
                    times.append(String.format(
                            Locale.ROOT,
                            "%7.0f",
                            median(all.stream().map(t -> t[k]).toList())));
                }
                times.append("   ");
            });
            System.out.printf(
                    Locale.ROOT,
                    "%-20s %11.0f %8.2f %8.1f %9.0f %9d   %s%n",
                    name,
                    perSecond,
                    perSecond / one.get(name),
                    median(f.cpuMicros),
                    median(f.memoryMb),
                    f.failed,
                    times);
        });
        Figures own = figures.get(Build.THIS.name());
        figures.forEach((name, f) -> {
            if (f != own) {
                System.out.printf(
                        Locale.ROOT,
                        "ridgemill / %s, median of the rounds (least to most): requests/s %s, CPU a request %s%n",
                        name,
                        Ratio.of(own.perSecond, f.perSecond),
                        Ratio.of(own.cpuMicros, f.cpuMicros));
            }
        });
    }
}
