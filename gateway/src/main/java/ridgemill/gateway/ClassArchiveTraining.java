package ridgemill.gateway;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import ridgemill.gateway.net.Addresses;
import ridgemill.gateway.net.Transport;

/**
 * Runs a start without a deployment. The build archives the classes that it loads; each start has to read any other
 * class from the jar and verify it. So the run parses a configuration, receives its host list from a discovery server,
 * and serves over sockets, all on loopback at free ports.
 */
final class ClassArchiveTraining {

    /** Time for two steps of the routing policy. The second one runs code for which the first has no data yet. */
    private static final long ROUTER_STEPS_MS = 2300;
    private static final int REQUESTS = 400;
    private static final double WARMUP_MS = 4000;

    private ClassArchiveTraining() { }

    /** Runs the start; returns when the proxy has drained. */
    static void run() throws ConfigException, IOException, InterruptedException {
        SighupHandler.register(() -> { });
        try (ServerSocket discovery = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Config config = Config.parse(configuration(discovery.getLocalPort()), Map.of());
            Thread discoveryThread = new Thread(() -> serveDiscovery(discovery), "discovery");
            discoveryThread.setDaemon(true);
            discoveryThread.start();
            Service service = Service.start(config);
            Warmup.run(Transport.TCP, config.settings(), null, new WarmupStopCondition(REQUESTS, WARMUP_MS, WARMUP_MS));
            sendRequests(service.listenAddress());
            callConsole(service.consoleListenAddress(), "/status");
            callConsole(service.consoleListenAddress(), "/status/metrics");
            service.peerMessage(0, new byte[Integer.BYTES]);
            // Steps are not observable from here, and the duration of this run in a build does not matter.
            TimeUnit.MILLISECONDS.sleep(ROUTER_STEPS_MS);
            service.drain();
        }
    }

    /** A configuration with all sections that a deployment may use. */
    private static String configuration(int discoveryPort) {
        return """
                {"name": "rehearsal", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:%d", "console": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
                 "limits": {"cores": 0.5, "memory_mb": 64, "sockets": 256},
                 "peer_listen": "127.0.0.1:0", "peers": ["127.0.0.1:9"], "peers_all": "127.0.0.1:9",
                 "known": {"seq": 1, "whole": true, "hosts": [%s]},
                 "settings": {"balancers": 2, "rank": 0, "zone": "a", "localities": ["a", "b"], "tick_ms": 5.0,
                  "discovery": "automatic", "kinds": ["std", "origin"], "weights": "silent", "value_by": "request",
                  "over_share_worth": 0.05, "domain": {"mode": "aside", "origin_kind": 1},
                  "customers": [{"name": "rehearsal", "fraction": 1.0, "quota_per_s": 100.0}],
                  "limits": {"cancelling": true, "connect_timeout_ms": 150.0, "idle_close_ms": 60000.0, "max_open": 20000,
                   "max_retry_after_ms": 750.0, "peers": true, "probing": true, "retry_after": true, "second_copies": false,
                   "try_limit": 6},
                  "obligations": {"answer_slack_ms": 20.0, "ask_within_ms": 10000.0, "cold_from": 0.2, "cold_ms": 24000.0,
                   "fall_ms": 3000.0, "fall_multiple": 2.5, "stop_sending_within_ms": 2000.0},
                  "tariffs": {"connection": 0.03, "handshake": 0.03},
                  "services": [{"name": "read", "objective_ms": 600.0, "deadline_ms": 1500.0, "gain": 2.0, "late_share": 0.25,
                   "effect": "retryable", "group": "all", "repeat_window_ms": 5000.0, "stream": false}]}}
                """.formatted(discoveryPort, host("gone", "std", "up"));
    }

    private static String host(String name, String kind, String health) {
        return """
                {"host": "%s", "dial": "127.0.0.1:9", "site": "a", "class": "%s", "block": 0, "health": "%s", "share": 1.0, \
                "born_ms": 0}""".formatted(name, kind, health);
    }

    /** Answers each discovery watch with a full list and a change, and keeps the connection open. */
    private static void serveDiscovery(ServerSocket discovery) {
        String fullList = "{\"seq\": 2, \"whole\": true, \"hosts\": [" + host("one", "std", "up") + ", "
                + host("two", "std", "up") + ", " + host("store", "origin", "up") + "]}\n";
        String change = "{\"seq\": 3, \"whole\": false, \"hosts\": [" + host("two", "std", "draining") + "]}\n";
        try {
            while (true) {
                Socket watch = discovery.accept();
                BufferedReader in = new BufferedReader(
                        new InputStreamReader(watch.getInputStream(), StandardCharsets.US_ASCII));
                for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
                    // The request head is not needed.
                }
                String response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(fullList)
                        + chunk(change);
                watch.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException e) {
            // The run has ended and closed the socket.
        }
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Sends an operator's request to the console. */
    private static void callConsole(InetSocketAddress console, String path) throws IOException {
        try (Socket caller = new Socket(console.getAddress(), console.getPort())) {
            caller.getOutputStream()
                    .write(("GET " + path + " HTTP/1.1\r\nHost: r\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            caller.getInputStream().readAllBytes();
        }
    }

    /** Sends a readiness check and one request, whose nodes do not exist. */
    private static void sendRequests(InetSocketAddress proxy) throws IOException {
        try (Socket client = new Socket(proxy.getAddress(), proxy.getPort())) {
            client.getOutputStream().write(("GET /up HTTP/1.1\r\nHost: " + Addresses.text(proxy) + "\r\n\r\n"
                    + "GET /api/1 HTTP/1.1\r\nHost: r\r\nX-Call-Id: 1\r\nX-Call-Class: read\r\nX-Caller: rehearsal\r\n"
                    + "X-Budget: 1.0\r\nConnection: close\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            client.getInputStream().readAllBytes();
        }
    }
}
