package ridgemill.cdn.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** The machines of a run, each with its own loopback address, and their processes. */
final class SoakFleet {

    private static final int PORT_COUNT = 10;
    private static final int MIN_PORT = 12_000;
    private static final int MAX_PORT = 30_000;

    /** The role of a machine. */
    enum Role {
        CORE,
        CACHE,
        PROXY
    }

    /**
     * A machine.
     *
     * @param processes the registry and the store of a core machine, or the single process of another machine
     */
    record Machine(Role role, String name, InetAddress host, List<SoakProcess> processes) {}

    private final Path folder;
    private final int run;
    private final int firstPort;
    private final Size size;
    private final List<Machine> machines = new ArrayList<>();
    private final int coreCount;

    /**
     * How many machines there are and what their processes have. There are always three core machines.
     *
     * @param fileDescriptors the maximum number of open file descriptors of each process
     * @param deployedJvm whether the processes have the JVM options of the deploy file, or little memory
     */
    record Size(int proxies, int caches, int fileDescriptors, boolean deployedJvm) {}

    /**
     * Creates a fleet; nothing is started.
     *
     * @param run a number that no other run at the same time has, for the addresses
     */
    SoakFleet(Path folder, int run, Random random, Size size) throws IOException {
        this.folder = folder;
        this.size = size;
        this.run = run;
        this.coreCount = 3;
        this.firstPort = freePorts(random);
        for (int i = 0; i < coreCount; i++) {
            add(Role.CORE, i, List.of("registry", "store"));
        }
        for (int i = 0; i < size.caches(); i++) {
            add(Role.CACHE, i, List.of("cache"));
        }
        for (int i = 0; i < size.proxies(); i++) {
            add(Role.PROXY, i, List.of("proxy"));
        }
    }

    private int freePorts(Random random) throws IOException {
        while (true) {
            int first = random.nextInt(MIN_PORT, MAX_PORT);
            int free = 0;
            for (int port = first; port < first + PORT_COUNT; port++) {
                try (ServerSocket socket = new ServerSocket(port)) {
                    free += socket.getLocalPort() > 0 ? 1 : 0;
                } catch (IOException inUse) {
                    break;
                }
            }
            if (free == PORT_COUNT) {
                return first;
            }
        }
    }

    private String address(Role role, int index) {
        return "127." + (10 + run % 200) + '.' + (role.ordinal() + 1) + '.' + (index + 1);
    }

    private void add(Role role, int index, List<String> programs) throws IOException {
        String name = role.name().toLowerCase(java.util.Locale.ROOT) + '-' + index;
        String host = address(role, index);
        List<SoakProcess> processes = new ArrayList<>();
        for (int i = 0; i < programs.size(); i++) {
            String program = programs.get(i);
            Path settings = folder.resolve(name + '-' + program + ".toml");
            Files.writeString(settings, settings(role, name, host));
            processes.add(new SoakProcess(
                    program,
                    size.deployedJvm() ? DeployedJvm.options(program) : SoakProcess.SMALL_JVM,
                    settings,
                    firstPort + 8 + i,
                    folder.resolve(name + '-' + program + ".log").toFile()));
        }
        machines.add(new Machine(role, name, InetAddress.getByName(host), processes));
    }

    private String settings(Role role, String name, String host) {
        StringBuilder seeds = new StringBuilder();
        for (int i = 0; i < coreCount; i++) {
            seeds.append(i == 0 ? "\"" : ",\"")
                    .append(address(Role.CORE, i))
                    .append(':')
                    .append(controlPort())
                    .append('"');
        }
        String listen = switch (role) {
            case CORE -> "controlAddress = \"" + host + ':' + controlPort() + "\"\n";
            case PROXY ->
                "frontAddress = \"" + host + ':' + frontPort() + "\"\nreadyAddress = \"" + host + ':' + readyPort()
                        + "\"\n";
            case CACHE -> "";
        };
        String disk = role == Role.CORE ? "dataDirectory = \"" + folder.resolve(name + "-data") + "\"\n" : "";
        return """
                nodeName = "%s"
                ipAddress = "%s"
                zone = "a"
                internalPortRange = [%d,%d]
                seedAddresses = [%s]
                firstStart = %b
                lossCounted = %b
                %sheartbeatInterval = "500ms"
                bounds = ["gracePeriod=6s","keyWindow=60s","contact=3s","drainDeadline=2s","purgeDeadline=2s",\
                "originWindow=5s","originCeilingOverage=1.1","retryBudgetRatio=0.2","retryBudgetSlack=60","retryWindow=10s"]
                [zones]
                a = "r"
                [listenAddresses]
                %s[limits]
                fileDescriptors = %d
                [toleratedLosses]
                machines = 1
                """.formatted(
                        name,
                        host,
                        firstPort,
                        firstPort + 4,
                        seeds,
                        true,
                        role == Role.CORE,
                        disk,
                        listen,
                        size.fileDescriptors());
    }

    int frontPort() {
        return firstPort + 5;
    }

    int readyPort() {
        return firstPort + 6;
    }

    int controlPort() {
        return firstPort + 7;
    }

    /** Returns the metrics port of a process, by its index on the machine. */
    int metricsPort(int index) {
        return firstPort + 8 + index;
    }

    List<Machine> machines() {
        return machines;
    }

    List<Machine> machines(Role role) {
        return machines.stream().filter(machine -> machine.role() == role).toList();
    }

    /** Starts all processes for the first time. */
    void start() throws IOException {
        machines.forEach(machine -> machine.processes().forEach(SoakProcess::start));
    }

    /** Rewrites the settings, so that later starts are not the first start of the whole system. */
    void markStarted() throws IOException {
        try (java.util.stream.Stream<Path> files = Files.list(folder)) {
            for (Path file : files.filter(f -> f.toString().endsWith(".toml")).toList()) {
                Files.writeString(file, Files.readString(file).replace("firstStart = true", "firstStart = false"));
            }
        }
    }

    void kill() {
        machines.forEach(machine -> machine.processes().forEach(SoakProcess::kill));
    }

    /** Returns whether a proxy reports that it is ready. */
    boolean isReady(Machine proxy) {
        return call(proxy, readyPort(), "GET", "/ridgemill/readiness", "") == 200;
    }

    /** Returns the response status of a request; 0 if there was no response. */
    int call(Machine machine, int port, String method, String path, String body) {
        try (SoakHttp http = new SoakHttp(machine.host(), port, 1_500)) {
            http.send(method, path, "Content-Type: application/json\r\n", body);
            return http.read().status();
        } catch (IOException failed) {
            return 0;
        }
    }

    /** Returns the body of the response to a GET request; empty if there was no response with status 200. */
    String fetch(Machine machine, int port, String path) {
        try (SoakHttp http = new SoakHttp(machine.host(), port, 1_500)) {
            http.send("GET", path, "", "");
            SoakHttp.Message response = http.read();
            return response.status() == 200 ? response.text() : "";
        } catch (IOException failed) {
            return "";
        }
    }
}
