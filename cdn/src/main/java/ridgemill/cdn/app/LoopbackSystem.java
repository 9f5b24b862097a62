package ridgemill.cdn.app;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import ridgemill.cdn.metrics.MetricsServer;
import ridgemill.cdn.proxy.CacheProgram;
import ridgemill.cdn.proxy.ProxyProgram;
import ridgemill.cdn.registry.RegistryProgram;
import ridgemill.cdn.settings.Settings;
import ridgemill.cdn.settings.SettingsReader;
import ridgemill.cdn.store.StoreProgram;
import ridgemill.gateway.net.Clock;
import ridgemill.gateway.net.SocketKind;

/**
 * Runs the programs on loopback addresses in one process: any number of core machines, one edge proxy, one shared
 * cache.
 */
final class LoopbackSystem {

    /** The host name of the routes in the example configuration. */
    static final String HOST = "a.example";

    private static final int MIN_PORT = 12_000;
    private static final int MAX_PORT = 32_000;
    /** The number of consecutive ports: clients, readiness, control, registry, store, shared cache. */
    private static final int PORT_COUNT = 6;

    private final Path folder;
    private final List<String> hosts;
    private final int firstPort;
    private final SocketKind sockets = SocketKind.chosen();
    private final Clock clock = new Clock();
    private final PrometheusMeterRegistry metrics = MetricsServer.registry();
    private final List<CoreMachine> core = new ArrayList<>();

    private record CoreMachine(StoreProgram store, RegistryProgram registry) {}

    /**
     * Creates a system that is not started.
     *
     * @param folder the parent of the data folders of the core machines
     * @param hosts the loopback addresses of the core machines; the edge proxy is at the first one
     */
    LoopbackSystem(Path folder, List<String> hosts) {
        this.folder = folder;
        this.hosts = List.copyOf(hosts);
        this.firstPort = freePorts();
    }

    private int freePorts() {
        while (true) {
            int first = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
            if (areFree(first)) {
                return first;
            }
        }
    }

    private boolean areFree(int first) {
        for (String host : hosts) {
            for (int port = first; port < first + PORT_COUNT; port++) {
                try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(host))) {
                    socket.getLocalPort();
                } catch (IOException inUse) {
                    return false;
                }
            }
        }
        return true;
    }

    int frontPort() {
        return firstPort;
    }

    int readyPort() {
        return firstPort + 1;
    }

    int controlPort() {
        return firstPort + 2;
    }

    /** Starts everything for the first time. */
    void start() {
        for (int machine = 0; machine < hosts.size(); machine++) {
            core.add(null);
            startCore(machine, true);
        }
        new ProxyProgram(settings(0, true), loop(), sockets, clock, metrics).start();
        new CacheProgram(settings(0, true), loop(), sockets, clock, metrics).start();
    }

    /** Returns the metrics as text. */
    String metricsText() {
        return metrics.scrape();
    }

    /** Starts the programs of a core machine. */
    void startCore(int machine, boolean firstStart) {
        Settings settings = settings(machine, firstStart);
        StoreProgram store = new StoreProgram(settings, loop(), sockets, clock);
        store.start().join();
        RegistryProgram registry = new RegistryProgram(settings, loop(), sockets, clock);
        registry.start();
        core.set(machine, new CoreMachine(store, registry));
    }

    /** Stops the programs of a core machine. */
    void stopCore(int machine) {
        core.get(machine).registry().stop();
        core.get(machine).store().stop();
    }

    private EventLoop loop() {
        return new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("loop", true), sockets.handlers()).next();
    }

    private Settings settings(int machine, boolean firstStart) {
        String host = hosts.get(machine);
        StringBuilder seeds = new StringBuilder();
        for (String seed : hosts) {
            seeds.append(seeds.isEmpty() ? "" : ",")
                    .append('"')
                    .append(seed)
                    .append(':')
                    .append(controlPort())
                    .append('"');
        }
        String text = """
                nodeName = "core-%d"
                ipAddress = "%s"
                zone = "a"
                internalPortRange = [%d,%d]
                seedAddresses = [%s]
                firstStart = %b
                dataDirectory = "%s"
                heartbeatInterval = "5s"
                bounds = ["gracePeriod=6s","keyWindow=60s"]
                [zones]
                a = "r"
                [listenAddresses]
                frontAddress = "%s:%d"
                readyAddress = "%s:%d"
                controlAddress = "%s:%d"
                [limits]
                fileDescriptors = 1024
                """.formatted(
                        machine + 1,
                        host,
                        firstPort + 3,
                        firstPort + 5,
                        seeds,
                        firstStart,
                        folder.resolve("core-" + (machine + 1)),
                        host,
                        frontPort(),
                        host,
                        readyPort(),
                        host,
                        controlPort());
        return SettingsReader.parse(text, "loopback").get();
    }

    /**
     * Returns an example configuration: one cacheable route and one for keyed operations, both to the service {@code
     * s}.
     */
    static String configuration() {
        return """
                {"upsert":{"routeTable":{
                "r-1":{"hostname":"a.example","pathPrefix":"/read/","routeKind":"cacheable","timeout":"3s",
                "targetLatency":"250ms","priorityLevel":2,"service":"s","maxAttempts":2,"cacheTtl":"40s","version":1},
                "r-2":{"hostname":"a.example","pathPrefix":"/write/","routeKind":"keyed_idempotent","timeout":"3s",
                "targetLatency":"250ms","priorityLevel":1,"trafficSplit":[{"service":"s","weight":1}],"maxAttempts":2,
                "version":1}},
                "serviceTable":{"s":{"healthPath":"/health","connectionCap":100,"deduplicates":false,"ratePerS":500.0,
                "version":1}},
                "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms",
                "idleTimeout":"15000ms","version":1}},"remove":{"routeTable":[]}}
                """;
    }

    /** Returns a heartbeat of an instance of the service {@code s}. */
    static String heartbeat(String address, long sequence) {
        return """
                {"address":"%s","information":{"service":"s","version":"v1","zone":"a","slotCount":32},
                "status":{"state":"ready","sequence":%d,"coldRemaining":"0ms"}}
                """.formatted(address, sequence);
    }

    /**
     * A response to a request.
     *
     * @param status the status, or 0 if there was no response
     * @param body the body
     */
    record HttpResult(int status, String body) {

        private static final int STATUS_AT = "HTTP/1.1 ".length();
        private static final int STATUS_END = STATUS_AT + 3;
        private static final String HEAD_END = "\r\n\r\n";

        private static HttpResult parse(String response) {
            int headEnd = response.indexOf(HEAD_END);
            return headEnd < STATUS_END
                    ? new HttpResult(0, "")
                    : new HttpResult(
                            Integer.parseInt(response.substring(STATUS_AT, STATUS_END)),
                            response.substring(headEnd + HEAD_END.length()));
        }
    }

    /**
     * Sends one request on a new connection and waits for the response.
     *
     * @param headers further header lines, each with its line end
     */
    HttpResult exchange(int machine, int port, String method, String path, String headers, String body) {
        byte[] content = body.getBytes(StandardCharsets.UTF_8);
        String head = method + ' ' + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nConnection: close\r\n" + headers
                + "Content-Length: " + content.length + "\r\n\r\n";
        try (Socket socket = new Socket(hosts.get(machine), port)) {
            OutputStream out = socket.getOutputStream();
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            out.write(content);
            return HttpResult.parse(new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8));
        } catch (IOException failed) {
            return new HttpResult(0, "");
        }
    }

    /** Returns the status of the response to a request, see {@link #exchange}. */
    int call(int machine, int port, String method, String path, String headers, String body) {
        return exchange(machine, port, method, path, headers, body).status();
    }
}
