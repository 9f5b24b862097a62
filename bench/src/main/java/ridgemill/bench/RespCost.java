package ridgemill.bench;

import static ridgemill.bench.Subject.median;

import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import ridgemill.gateway.net.Addresses;

/**
 * What the RESP front costs: beside the HTTP front of the same process and in front of the same RESP nodes, at pipelines of
 * 1, 16 and 128, beside other builds and a bare relay; and the memory of connections that are idle or stalled.
 */
@Command(
        name = "resp-cost",
        mixinStandardHelpOptions = true,
        description = "Measures RESP clients and nodes; each proxy "
                + "runs on one core, the clients and the nodes on others.")
public final class RespCost extends CoreMeasurement {

    private static final int NODES = 4;
    private static final int VALUE = 64;
    private static final int[] DEPTHS = {1, 16, 128};
    private static final int IDLE = 1000;
    private static final int STALLED = 200;
    private static final String OWN = "ridgemill, RESP in, RESP out";

    @Option(
            names = "--seconds",
            paramLabel = "N",
            defaultValue = "4",
            description = "Length of each measurement (default: ${DEFAULT-VALUE}).")
    private int seconds;

    @Option(
            names = "--rounds",
            paramLabel = "N",
            defaultValue = "3",
            description = "How often all are measured in turn; the median counts (default: ${DEFAULT-VALUE}).")
    private int rounds;

    @Option(names = "--before", paramLabel = "ROOT", description = Build.BEFORE)
    private List<Path> before = List.of();

    private record Row(List<Double> perSecond, List<Double> p99) {
        Row() {
            this(new ArrayList<>(), new ArrayList<>());
        }
    }

    public static void main(String[] args) {
        main(new RespCost(), args);
    }

    @Override
    void measure(Path directory) throws Exception {
        List<InetSocketAddress> nodes = nodes(NODES, () -> new FlatRespNode(nodeLoop, VALUE).address());
        Map<String, Row> rows = new LinkedHashMap<>();
        Map<String, InetSocketAddress> targets = new LinkedHashMap<>();
        try (Subjects all = new Subjects()) {
            InetSocketAddress resp = Subject.freeAddress();
            Subject own = ridgemill(Build.THIS, nodes, resp, directory);
            all.add(own);
            targets.put(OWN, resp);
            for (Path root : before) {
                InetSocketAddress address = Subject.freeAddress();
                all.add(ridgemill(Build.other(root), nodes, address, directory));
                targets.put(Build.other(root).name(), address);
            }
            Subject relay = Relay.start(nodes, String.valueOf(core), 1, Subject.runOptions(), directory);
            all.add(relay);
            targets.put("relay", relay.address());
            for (int i = 0; i < 2; i++) {
                Pressure.run(clientLoop, own.address(), CONNECTIONS, 0, seconds);
                for (InetSocketAddress a : targets.values()) {
                    RespPressure.run(clientLoop, a, CONNECTIONS, 16, seconds);
                }
            }
            targets.put("no proxy", nodes.get(0));
            for (int round = 0; round < rounds; round++) {
                add(
                        rows,
                        "ridgemill, HTTP in, RESP out",
                        1,
                        Pressure.run(clientLoop, own.address(), CONNECTIONS, 0, seconds));
                for (int depth : DEPTHS) {
                    for (Map.Entry<String, InetSocketAddress> t : targets.entrySet()) {
                        add(
                                rows,
                                t.getKey(),
                                depth,
                                RespPressure.run(clientLoop, t.getValue(), CONNECTIONS, depth, seconds));
                    }
                }
            }
            System.out.printf(
                    Locale.ROOT,
                    "one core each, %d connections, %d nodes, %d-byte values, medians of %d rounds of %d s%n",
                    CONNECTIONS,
                    NODES,
                    VALUE,
                    rounds,
                    seconds);
            System.out.printf("%-32s %10s %14s %10s%n", "proxy", "pipeline", "requests/s", "p99 us");
            rows.forEach((name, r) -> System.out.printf(
                    Locale.ROOT,
                    "%-32s %10s %14.0f %10.0f%n",
                    name.split("\\|")[0],
                    name.split("\\|")[1],
                    median(r.perSecond()),
                    median(r.p99())));
            for (int depth : DEPTHS) {
                targets.keySet().stream()
                        .filter(name -> !name.equals(OWN))
                        .forEach(name -> System.out.printf(
                                Locale.ROOT,
                                "ridgemill / %s at %d, median of the rounds (least to most): commands/s %s%n",
                                name,
                                depth,
                                Ratio.of(
                                        rows.get(OWN + "|" + depth).perSecond(),
                                        rows.get(name + "|" + depth).perSecond())));
            }
            memory(own, resp);
        }
    }

    private static void add(Map<String, Row> rows, String name, int depth, Pressure.Result result) {
        Row row = rows.computeIfAbsent(name + "|" + depth, n -> new Row());
        row.perSecond().add(result.perSecond());
        row.p99().add(result.p99());
        if (result.failed() > 0) {
            System.out.println(name + " at " + depth + ": " + result.failed() + " of " + result.answered() + " failed");
        }
    }

    /** Connections that have asked once and stay, then ones that ask for much and read nothing. */
    private static void memory(Subject ridgemill, InetSocketAddress resp) throws IOException, InterruptedException {
        System.out.printf(Locale.ROOT, "memory under load before: %.1f MB%n", ridgemill.memoryMb());
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < IDLE; i++) {
            Socket s = new Socket(resp.getAddress(), resp.getPort());
            s.getOutputStream().write("PING\r\n".getBytes(StandardCharsets.US_ASCII));
            s.getInputStream().readNBytes(7);
            sockets.add(s);
        }
        System.out.printf(Locale.ROOT, "with %d idle connections: %.1f MB%n", IDLE, ridgemill.memoryMb());
        byte[] many = "*2\r\n$3\r\nGET\r\n$7\r\nm100001\r\n".repeat(2000).getBytes(StandardCharsets.US_ASCII);
        for (int i = 0; i < STALLED; i++) {
            Socket s = new Socket();
            s.setReceiveBufferSize(4096);
            s.connect(resp);
            s.getOutputStream().write(many);
            sockets.add(s);
        }
        double most = 0;
        for (int i = 0; i < 20; i++) {
            Thread.sleep(100);
            most = Math.max(most, ridgemill.memoryMb());
        }
        System.out.printf(
                Locale.ROOT,
                "with %d more that sent 2,000 commands and read nothing: %.1f MB at most%n",
                STALLED,
                most);
        for (Socket s : sockets) {
            s.close();
        }
    }

    private Subject ridgemill(Build build, List<InetSocketAddress> nodes, InetSocketAddress resp, Path directory)
            throws IOException, InterruptedException {
        String members = nodes.stream()
                .map(n -> "n" + n.getPort() + " = \"" + Addresses.text(n) + "\"")
                .collect(Collectors.joining(", "));
        Path operator = Files.writeString(
                directory.resolve("gateway-" + resp.getPort() + ".toml"), """
                [classes.read]
                effect = "safe"
                [groups.hall]
                protocol = "resp"
                dialect = "plain"
                nodes = { %s }
                [[route]]
                name = "all"
                path = "/api/**"
                class = "read"
                group = "hall"
                [[listener]]
                name = "resp"
                protocol = "resp"
                address = "%s"
                """.formatted(members, Addresses.text(resp)));
        return Subject.ridgemill(
                build,
                JsonParser.parseString("""
                {"limits": {"sockets": 4096}, "discovery": "127.0.0.1:1", "known": {"seq": 1, "whole": true, "hosts": []}}
                """).getAsJsonObject(),
                core,
                directory,
                List.of(),
                "--operator-file",
                operator.toString());
    }
}
