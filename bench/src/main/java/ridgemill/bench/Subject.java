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
import java.util.stream.Collectors;
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

    /** Starts a command pinned to cores, as {@code taskset} lists them, and returns when it listens. */
    static Subject start(String name, InetSocketAddress address, String cores, Path directory, List<String> command,
                         List<String> environment) throws IOException, InterruptedException {
        List<String> pinned = new ArrayList<>(List.of("taskset", "-c", cores));
        pinned.addAll(command);
        ProcessBuilder builder = new ProcessBuilder(pinned);
        for (String pair : environment) {
            builder.environment().put(pair.substring(0, pair.indexOf('=')), pair.substring(pair.indexOf('=') + 1));
        }
        Path log = directory.resolve(name + ".log");
        Process process = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
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
     * Ridgemill as a deployment runs it: by the {@code run} line of the deploy file, with {@code arguments}
     * behind it.
     *
     * @param more what its configuration says beside what all measurements share
     */
    static Subject ridgemill(JsonObject more, int core, Path directory, String... arguments)
            throws IOException, InterruptedException {
        return ridgemill(more, core, directory, List.of(), arguments);
    }

    /** The same with further variables of its environment, each {@code NAME=VALUE}. */
    static Subject ridgemill(JsonObject more, int core, Path directory, List<String> environment, String... arguments)
            throws IOException, InterruptedException {
        InetSocketAddress address = freeAddress();
        Path file = configuration(address, more, directory);
        List<String> variables = new ArrayList<>(environment);
        variables.add("BALANCER_CONFIG=" + file);
        String run = Files.readAllLines(Path.of("deploy/balancer.toml")).stream().filter(l -> l.startsWith("run = "))
                .map(l -> l.substring(l.indexOf('"') + 1, l.lastIndexOf('"'))).findFirst()
                .orElseThrow(() -> new IOException("deploy/balancer.toml: no line 'run = ...' (start this from the root)"));
        return start("ridgemill", address, String.valueOf(core), directory, List.of("/bin/sh", "-c", String.join(" ", run,
                String.join(" ", arguments))), variables);
    }

    /**
     * Ridgemill on several cores: a loop for each, by a file of options for the Java machine.
     *
     * @param operatorFile what it runs under
     */
    static Subject ridgemill(JsonObject more, String cores, Path directory, List<String> environment, Path options,
                             Path operatorFile) throws IOException, InterruptedException {
        InetSocketAddress address = freeAddress();
        Path file = configuration(address, more, directory);
        List<String> variables = new ArrayList<>(environment);
        variables.add("BALANCER_CONFIG=" + file);
        return start("ridgemill", address, cores, directory, List.of("java", "@" + options, "-jar", "gateway/target/ridgemill.jar",
                "serve", "--operator-file", operatorFile.toString()), variables);
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
        double[] sorted = values.stream().mapToDouble(Double::doubleValue).sorted().toArray();
        return sorted.length == 0 ? Double.NaN : sorted[sorted.length / 2];
    }

    static Subject haproxy(List<InetSocketAddress> nodes, int core, Path directory) throws Exception {
        return haproxy(nodes, String.valueOf(core), 1, directory);
    }

    /** HAProxy with so many threads. */
    static Subject haproxy(List<InetSocketAddress> nodes, String cores, int threads, Path directory) throws Exception {
        InetSocketAddress address = freeAddress();
        Path config = Files.writeString(directory.resolve("haproxy.cfg"), """
                global
                  nbthread %d
                  maxconn 8000
                defaults
                  mode http
                  timeout connect 1s
                  timeout client 10s
                  timeout server 10s
                  http-reuse always
                frontend front
                  bind 127.0.0.1:%d
                  default_backend nodes
                backend nodes
                  balance uri
                %s
                """.formatted(threads, address.getPort(), nodes.stream().map(n -> "  server s" + n.getPort() + " 127.0.0.1:"
                + n.getPort()).collect(Collectors.joining("\n"))));
        return start("haproxy", address, cores, directory, List.of("haproxy", "-db", "-f", config.toString()), List.of());
    }

    /** Hands bytes on to a node for each connection, without looking at them. */
    static Subject haproxyTcp(List<InetSocketAddress> nodes, int core, Path directory) throws Exception {
        InetSocketAddress address = freeAddress();
        Path config = Files.writeString(directory.resolve("haproxy-tcp.cfg"), """
                global
                  nbthread 1
                  maxconn 2000
                defaults
                  mode tcp
                  timeout connect 1s
                  timeout client 10s
                  timeout server 10s
                frontend front
                  bind 127.0.0.1:%d
                  default_backend nodes
                backend nodes
                %s
                """.formatted(address.getPort(), nodes.stream().map(n -> "  server s" + n.getPort() + " 127.0.0.1:"
                + n.getPort()).collect(Collectors.joining("\n"))));
        return start("haproxy-tcp", address, String.valueOf(core), directory, List.of("haproxy", "-db", "-f", config.toString()), List.of());
    }

    /** A proxy that speaks RESP2 and places keys by consistent hashing. */
    static Subject nutcracker(List<InetSocketAddress> nodes, int core, Path directory) throws Exception {
        InetSocketAddress address = freeAddress();
        Path config = Files.writeString(directory.resolve("nutcracker.yml"), """
                bench:
                  listen: 127.0.0.1:%d
                  redis: true
                  hash: fnv1a_64
                  distribution: ketama
                  timeout: 1000
                  servers:
                %s
                """.formatted(address.getPort(), nodes.stream().map(n -> "   - 127.0.0.1:" + n.getPort() + ":1")
                .collect(Collectors.joining("\n"))));
        return start("nutcracker", address, String.valueOf(core), directory, List.of("nutcracker", "-c", config.toString(), "-s",
                String.valueOf(freeAddress().getPort())), List.of());
    }

    static Subject nginx(List<InetSocketAddress> nodes, int core, Path directory) throws Exception {
        return nginx(nodes, String.valueOf(core), 1, directory);
    }

    /** nginx with so many workers. */
    static Subject nginx(List<InetSocketAddress> nodes, String cores, int workers, Path directory) throws Exception {
        InetSocketAddress address = freeAddress();
        Path config = Files.writeString(directory.resolve("nginx.conf"), """
                daemon off;
                user root;
                master_process %5$s;
                worker_processes %4$d;
                pid %1$s/nginx.pid;
                error_log %1$s/nginx.error;
                events { worker_connections 8000; }
                http {
                  access_log off;
                  keepalive_requests 1000000;
                  client_body_temp_path %1$s/nginx-body;
                  proxy_temp_path %1$s/nginx-proxy;
                  fastcgi_temp_path %1$s/nginx-fastcgi;
                  uwsgi_temp_path %1$s/nginx-uwsgi;
                  scgi_temp_path %1$s/nginx-scgi;
                  upstream nodes {
                    hash $uri consistent;
                %2$s
                    keepalive 256;
                    keepalive_requests 1000000;
                  }
                  server {
                    listen 127.0.0.1:%3$d%6$s;
                    location / {
                      proxy_pass http://nodes;
                      proxy_http_version 1.1;
                      proxy_set_header Connection "";
                    }
                  }
                }
                """.formatted(directory, nodes.stream().map(n -> "    server 127.0.0.1:" + n.getPort() + ";")
                .collect(Collectors.joining("\n")), address.getPort(), workers, workers > 1 ? "on" : "off",
                workers > 1 ? " reuseport" : ""));
        return start("nginx", address, cores, directory, List.of("nginx", "-c", config.toString(), "-p",
                directory.toString()), List.of());
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
        return Stream.concat(Stream.of(process.toHandle()), process.descendants()).map(ProcessHandle::pid).toList();
    }

    /** Memory that it holds, in MB. */
    double memoryMb() throws IOException {
        double sum = 0;
        for (long pid : pids()) {
            sum += Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream().filter(l -> l.startsWith("VmRSS:"))
                    .mapToDouble(l -> Double.parseDouble(l.replaceAll("[^0-9]", "")) / 1024).findFirst().orElse(Double.NaN);
        }
        return sum;
    }

    @Override
    public void close() {
        process.destroy();
        try {
            if (!process.waitFor(PATIENCE_S, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
