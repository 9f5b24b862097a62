package ridgemill.cdn.app;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import ridgemill.cdn.proxy.ProxyProgram;
import ridgemill.cdn.registry.RegistryProgram;
import ridgemill.cdn.settings.Settings;
import ridgemill.cdn.settings.SettingsReader;
import ridgemill.cdn.store.StoreProgram;
import ridgemill.gateway.net.Clock;
import ridgemill.gateway.net.SocketKind;

/**
 * Starts all three programs in one process on loopback, serves some requests with them and ends. The build runs it to
 * archive the classes that a start loads; what it leaves out, each start has to read from the jar and check.
 */
final class Rehearsal {

    private static final String LOOPBACK = "127.0.0.1";
    private static final int REQUESTS = 60;
    private static final int ATTEMPTS = 400;
    private static final long PAUSE_MS = 25;
    private static final int ANSWER_BYTES = 600;

    private final int control;
    private final int front;
    private final int ready;
    private final int internal;

    private Rehearsal(List<Integer> ports) {
        control = ports.get(0);
        front = ports.get(1);
        ready = ports.get(2);
        internal = ports.get(3);
    }

    /** Runs it; the process ends with it. */
    static void run() throws Exception {
        Path directory = Files.createTempDirectory("ridgemill-rehearsal");
        int code = 1;
        try (ServerSocket instance = new ServerSocket(0, 16, InetAddress.getByName(LOOPBACK))) {
            Thread serving = new Thread(() -> serve(instance), "instance");
            serving.setDaemon(true);
            serving.start();
            Rehearsal rehearsal = new Rehearsal(freePorts());
            rehearsal.play(directory, instance.getLocalPort());
            code = 0;
        } finally {
            delete(directory);
            if (code != 0) {
                System.err.println("event=rehearsal_failed");
            }
        }
    }

    /** Four ports of which the last is followed by another free one. */
    private static List<Integer> freePorts() throws IOException {
        InetAddress loopback = InetAddress.getByName(LOOPBACK);
        try (ServerSocket one = new ServerSocket(0, 1, loopback);
                ServerSocket two = new ServerSocket(0, 1, loopback);
                ServerSocket three = new ServerSocket(0, 1, loopback);
                ServerSocket four = new ServerSocket(0, 1, loopback)) {
            return List.of(one.getLocalPort(), two.getLocalPort(), three.getLocalPort(), four.getLocalPort());
        }
    }

    private void play(Path directory, int instancePort) throws Exception {
        Signals.onHangup(() -> {});
        SocketKind sockets = SocketKind.chosen();
        Clock clock = new Clock();
        Settings settings =
                SettingsReader.parse(settings(directory), "rehearsal").get();
        StoreProgram store = new StoreProgram(settings, loop(sockets), sockets, clock);
        RegistryProgram registry = new RegistryProgram(settings, loop(sockets), sockets, clock);
        ProxyProgram proxy = new ProxyProgram(settings, loop(sockets), sockets, clock);
        store.start();
        registry.start();
        proxy.start();
        until(200, () -> call(control, "PATCH", "/ridgemill/configuration", "", configuration()));
        until(200, () -> call(control, "PUT", "/ridgemill/instances/i-1", "", heartbeat(instancePort)));
        until(200, () -> call(ready, "GET", "/ridgemill/readiness", "", ""));
        for (int i = 0; i < REQUESTS; i++) {
            call(front, "GET", "/read/" + i % 3, request(i), "");
            call(front, "POST", "/write/" + i, request(i) + "X-Operation-Key: k" + i + "\r\n", "body");
        }
        call(control, "POST", "/ridgemill/purges", "", "{\"tag\":\"t1\"}");
        call(control, "POST", "/ridgemill/purges", "", "{\"hostname\":\"a.example\",\"path\":\"/read/1\"}");
        call(control, "GET", "/ridgemill/configuration", "", "");
        call(control, "PATCH", "/ridgemill/configuration", "", "{");
        call(control, "DELETE", "/ridgemill/instances/i-1", "", "");
        store.stop();
        registry.stop();
    }

    private static EventLoop loop(SocketKind sockets) {
        MultiThreadIoEventLoopGroup group =
                new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("loop", true), sockets.handlers());
        return group.next();
    }

    private String settings(Path directory) {
        return """
                nodeName = "rehearsal"
                ipAddress = "127.0.0.1"
                zone = "a"
                internalPortRange = [%d,%d]
                seedAddresses = ["127.0.0.1:%d"]
                firstStart = true
                dataDirectory = "%s"
                heartbeatInterval = "100ms"
                bounds = ["gracePeriod=6s","keyWindow=60s"]
                [zones]
                a = "r"
                [listenAddresses]
                frontAddress = "127.0.0.1:%d"
                readyAddress = "127.0.0.1:%d"
                controlAddress = "127.0.0.1:%d"
                [limits]
                fileDescriptors = 1024
                [toleratedLosses]
                machines = 0
                """.formatted(internal, internal + 1, control, directory, front, ready, control);
    }

    private static String configuration() {
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

    private static String heartbeat(int port) {
        return """
                {"address":"127.0.0.1:%d","information":{"service":"s","version":"v1","zone":"a","slotCount":32},
                "status":{"state":"ready","sequence":4,"coldRemaining":"0ms"}}
                """.formatted(port);
    }

    private static String request(int number) {
        return "X-Attempt-Id: a" + number + "\r\nX-Deadline-Remaining: 2000\r\n";
    }

    private interface Call {

        int status() throws IOException;
    }

    private static void until(int status, Call call) throws IOException, InterruptedException {
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            if (call.status() == status) {
                return;
            }
            Thread.sleep(PAUSE_MS);
        }
        throw new IOException("the rehearsal got no status " + status);
    }

    /** One request on a connection of its own. Returns the status, or 0 if there was no answer. */
    private static int call(int port, String method, String path, String headers, String body) {
        byte[] content = body.getBytes(StandardCharsets.UTF_8);
        String head = method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n" + headers
                + "Content-Length: " + content.length + "\r\n\r\n";
        try (Socket socket = new Socket(LOOPBACK, port)) {
            OutputStream out = socket.getOutputStream();
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            out.write(content);
            byte[] answer = socket.getInputStream().readAllBytes();
            return answer.length < 12 ? 0 : Integer.parseInt(new String(answer, 9, 3, StandardCharsets.US_ASCII));
        } catch (IOException failed) {
            return 0;
        }
    }

    /** The stand-in for an instance: answers each request on its connection. */
    private static void serve(ServerSocket listener) {
        try {
            while (true) {
                Socket socket = listener.accept();
                Thread serving = new Thread(() -> answer(socket), "connection");
                serving.setDaemon(true);
                serving.start();
            }
        } catch (IOException closed) {
            // The rehearsal is over.
        }
    }

    private static void answer(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            byte[] buffer = new byte[8192];
            int read = in.read(buffer);
            while (read > 0) {
                String head = new String(buffer, 0, read, StandardCharsets.US_ASCII);
                int at = head.toLowerCase(java.util.Locale.ROOT).indexOf("x-attempt-id: ") + "x-attempt-id: ".length();
                String id = head.substring(at, head.indexOf('\r', at));
                String answer = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: s\r\nETag: \"e\"\r\n"
                        + "X-Object-Tags: t1 t2\r\nX-Server-Load: 1,0,32\r\nContent-Length: " + ANSWER_BYTES
                        + "\r\n\r\n"
                        + "x".repeat(ANSWER_BYTES);
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
                read = in.read(buffer);
            }
        } catch (IOException ended) {
            // The proxy has closed its connection.
        }
    }

    private static void delete(Path directory) {
        try (Stream<Path> files = Files.walk(directory)) {
            files.sorted(Comparator.reverseOrder())
                    .forEach(file -> file.toFile().delete());
        } catch (IOException undeletable) {
            throw new UncheckedIOException(undeletable);
        }
    }
}
