package ridgemill.bench.scale;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** Real registries, stores and an edge proxy on loopback addresses, run as the deployment file says. */
final class Deployment implements AutoCloseable {

    /** The core machines on which a voting store runs, beside the registry. */
    static final List<String> SEEDS = List.of("127.0.0.1", "127.0.0.2", "127.0.0.3");

    private static final Path DEPLOYMENT = Path.of("deploy/system.toml");
    private static final String PROXY_HOST = "127.0.0.101";
    /** Ports below those that the kernel gives to connections. */
    private static final int LEAST_PORT = 20_000;

    private static final int MOST_PORT = 28_000;
    private static final int PORTS = 5;
    private static final int ATTEMPTS = 100;

    private final Path directory;
    private final int firstPort;
    private final List<MeasuredProcess> registries = new ArrayList<>();
    private final List<MeasuredProcess> stores = new ArrayList<>();
    private final List<MeasuredProcess> proxies = new ArrayList<>();
    private final List<String> registryHosts = new ArrayList<>();

    private Deployment(Path directory, int firstPort) {
        this.directory = directory;
        this.firstPort = firstPort;
    }

    /** Starts the core machines. */
    static Deployment start(Path directory) throws IOException {
        Deployment deployment = new Deployment(directory, freePorts());
        for (String host : SEEDS) {
            deployment.stores.add(deployment.start("store", host));
        }
        for (String host : SEEDS) {
            deployment.startRegistry(host);
        }
        return deployment;
    }

    private static int freePorts() throws IOException {
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            int first = ThreadLocalRandom.current().nextInt(LEAST_PORT, MOST_PORT);
            if (areFree(first)) {
                return first;
            }
        }
        throw new IOException("no free ports");
    }

    private static boolean areFree(int first) {
        for (int port = first; port < first + PORTS; port++) {
            try (ServerSocket any = new ServerSocket(port, 1, InetAddress.getByName("0.0.0.0"))) {
                any.getLocalPort();
            } catch (IOException taken) {
                return false;
            }
        }
        return true;
    }

    /** Starts one more registry on a core machine of its own. */
    void startRegistry(String host) throws IOException {
        registries.add(start("registry", host));
        registryHosts.add(host);
    }

    /** Starts the real edge proxy. */
    void startProxy() throws IOException {
        proxies.add(start("proxy", PROXY_HOST));
    }

    int registryPort() {
        return firstPort;
    }

    int storePort() {
        return firstPort + 1;
    }

    String controlAddress(String host) {
        return host + ":" + (firstPort + 2);
    }

    String readinessAddress() {
        return PROXY_HOST + ":" + (firstPort + 4);
    }

    List<String> registryHosts() {
        return registryHosts;
    }

    List<MeasuredProcess> registries() {
        return registries;
    }

    List<MeasuredProcess> stores() {
        return stores;
    }

    List<MeasuredProcess> proxies() {
        return proxies;
    }

    private MeasuredProcess start(String role, String host) throws IOException {
        Path settings = Files.writeString(directory.resolve(role + "-" + host + ".toml"), settings(role, host));
        return MeasuredProcess.start(runLine(role), settings, directory.resolve(role + "-" + host + ".log"));
    }

    private static List<String> runLine(String role) throws IOException {
        List<String> lines = Files.readAllLines(DEPLOYMENT);
        int section = lines.indexOf("[roles." + role + "]");
        String line = lines.get(section + 1);
        return Arrays.asList(
                line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
    }

    private String settings(String role, String host) {
        String seeds = String.join(
                ",",
                SEEDS.stream().map(seed -> '"' + controlAddress(seed) + '"').toList());
        boolean isEdge = role.equals("proxy");
        String listen = isEdge
                ? "frontAddress = \"" + host + ":" + (firstPort + 3) + "\"\n" + "readyAddress = \"" + readinessAddress()
                        + "\""
                : "controlAddress = \"" + controlAddress(host) + "\"";
        String disk = isEdge ? "" : "dataDirectory = \"" + directory.resolve("data-" + host) + "\"\n";
        return """
                nodeName = "%s"
                ipAddress = "%s"
                zone = "a"
                internalPortRange = [%d,%d]
                seedAddresses = [%s]
                firstStart = true
                %sheartbeatInterval = "1500ms"
                bounds = ["gracePeriod=6s","keyWindow=60s"]
                [zones]
                a = "r"
                [listenAddresses]
                %s
                [limits]
                fileDescriptors = 20000
                [toleratedLosses]
                machines = 1
                """.formatted(
                        (isEdge ? "edge-" : "core-") + host, host, registryPort(), storePort(), seeds, disk, listen);
    }

    @Override
    public void close() {
        proxies.forEach(MeasuredProcess::close);
        registries.forEach(MeasuredProcess::close);
        stores.forEach(MeasuredProcess::close);
    }
}
