package ridgemill.bench;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import ridgemill.gateway.net.Addresses;

/** A proxy that is measured: a process on one core, and what it has used so far. */
final class Subject implements AutoCloseable {

    private static final double TICKS_PER_S = 100;
    private static final long PATIENCE_S = 30;

    private final String name;
    private final InetSocketAddress address;
    private final Process process;

    private Subject(String name, InetSocketAddress address, Process process) {
        this.name = name;
        this.address = address;
        this.process = process;
    }

    /** Starts a command in a directory, pinned to cores, as {@code taskset} lists them, and returns when it listens. */
    static Subject start(
            String name,
            InetSocketAddress address,
            String cores,
            Path directory,
            Path from,
            List<String> command,
            List<String> environment)
            throws IOException, InterruptedException {
        List<String> pinned = new ArrayList<>(List.of("taskset", "-c", cores));
        pinned.addAll(command);
        ProcessBuilder builder =
                new ProcessBuilder(pinned).directory(from.toAbsolutePath().toFile());
        for (String pair : environment) {
            builder.environment().put(pair.substring(0, pair.indexOf('=')), pair.substring(pair.indexOf('=') + 1));
        }
        Path log = directory.resolve(name + ".log");
        Process process =
                builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        while (!listens(address)) {
            if (!process.isAlive() || System.nanoTime() > end) {
                throw new IOException(name + " did not start: " + Files.readString(log));
            }
            process.waitFor(50, TimeUnit.MILLISECONDS);
        }
        return new Subject(name, address, process);
    }

    private static boolean listens(InetSocketAddress address) {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            return socket.isConnected();
        } catch (IOException e) {
            return false;
        }
    }

    static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    /**
     * A build as a deployment runs it: by the {@code run} line of its deploy file, with {@code arguments} behind it.
     *
     * @param more what its configuration says beside what all measurements share
     * @param environment further variables, each {@code NAME=VALUE}
     */
    static Subject ridgemill(
            Build build, JsonObject more, int core, Path directory, List<String> environment, String... arguments)
            throws IOException, InterruptedException {
        return ridgemill(
                build,
                more,
                String.valueOf(core),
                directory,
                environment,
                List.of("/bin/sh", "-c", String.join(" ", runLine(build), String.join(" ", arguments))));
    }

    /**
     * A build on several cores: a loop for each, by a file of options for the Java machine.
     *
     * @param operatorFile what it runs under
     */
    static Subject ridgemill(
            Build build,
            JsonObject more,
            String cores,
            Path directory,
            List<String> environment,
            Path options,
            Path operatorFile)
            throws IOException, InterruptedException {
        return ridgemill(
                build,
                more,
                cores,
                directory,
                environment,
                List.of(
                        "java",
                        "@" + options.toAbsolutePath(),
                        "-jar",
                        "gateway/target/ridgemill.jar",
                        "serve",
                        "--operator-file",
                        operatorFile.toString()));
    }

    private static Subject ridgemill(
            Build build, JsonObject more, String cores, Path directory, List<String> environment, List<String> command)
            throws IOException, InterruptedException {
        InetSocketAddress address = freeAddress();
        Path own = Files.createTempDirectory(directory, "ridgemill");
        List<String> variables = new ArrayList<>(environment);
        variables.add("BALANCER_CONFIG=" + configuration(address, more, own));
        return start(build.name(), address, cores, own, build.root(), command, variables);
    }

    /** The Java machine's options of this build's run line but those that name its archive, for what runs beside it. */
    static List<String> runOptions() throws IOException {
        return Stream.of(runLine(Build.THIS).split(" "))
                .filter(w -> w.startsWith("-X") && !w.startsWith("-Xshare") && !w.contains("SharedArchiveFile")
                        || w.startsWith("-Dio.netty"))
                .toList();
    }

    private static String runLine(Build build) throws IOException {
        return Files.readAllLines(build.root().resolve("deploy/balancer.toml")).stream()
                .filter(l -> l.startsWith("run = "))
                .map(l -> l.substring(l.indexOf('"') + 1, l.lastIndexOf('"')))
                .findFirst()
                .orElseThrow(() -> new IOException(
                        build.root() + "/deploy/balancer.toml: no line 'run = ...' (start this from the root)"));
    }

    private static Path configuration(InetSocketAddress address, JsonObject more, Path directory) throws IOException {
        JsonObject config = JsonParser.parseString("""
                {"name": "bench",
                 "settings": {"rank": 0, "balancers": 1, "zone": "a", "tick_ms": 5, "discovery": "automatic",
                  "limits": {"cancelling": true, "connect_timeout_ms": 150, "idle_close_ms": 60000, "max_open": 20000,
                   "retry_after": true, "max_retry_after_ms": 750, "try_limit": 6},
                  "obligations": {"answer_slack_ms": 20}, "kinds": ["std", "origin"],
                  "domain": {"mode": "aside", "origin_kind": 1}, "customers": [],
                  "services": [{"name": "read", "effect": "retryable", "objective_ms": 500, "deadline_ms": 1500}]}}
                """).getAsJsonObject();
        config.addProperty("listen", Addresses.text(address));
        more.entrySet().forEach(e -> config.add(e.getKey(), e.getValue()));
        return Files.writeString(directory.resolve("ridgemill.json"), config.toString());
    }

    /** The middle one of figures, one a round. */
    static double median(List<Double> values) {
        double[] sorted =
                values.stream().mapToDouble(Double::doubleValue).sorted().toArray();
        return sorted.length == 0 ? Double.NaN : sorted[sorted.length / 2];
    }

    String name() {
        return name;
    }

    InetSocketAddress address() {
        return address;
    }

    /** Processor time that it has used, in microseconds; {@code /proc} counts in hundredths of a second. */
    double cpuMicros() throws IOException {
        double sum = 0;
        for (long pid : pids()) {
            String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            sum += (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / TICKS_PER_S * 1e6;
        }
        return sum;
    }

    /** It and the workers that it has started. */
    private List<Long> pids() {
        return Stream.concat(Stream.of(process.toHandle()), process.descendants())
                .map(ProcessHandle::pid)
                .toList();
    }

    /** Memory that it holds, in MB. */
    double memoryMb() throws IOException {
        double sum = 0;
        for (long pid : pids()) {
            sum += Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream()
                    .filter(l -> l.startsWith("VmRSS:"))
                    .mapToDouble(l -> Double.parseDouble(l.replaceAll("[^0-9]", "")) / 1024)
                    .findFirst()
                    .orElse(Double.NaN);
        }
        return sum;
    }

    @Override
    public void close() {
        ChildProcess.end(process, PATIENCE_S);
    }
}
