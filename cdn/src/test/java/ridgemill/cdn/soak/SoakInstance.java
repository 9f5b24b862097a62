package ridgemill.cdn.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** An instance of a service: runs each request, loses some responses, and resets connections beyond its limit. */
final class SoakInstance implements AutoCloseable {

    private final String id;
    private final SoakAudit audit;
    private final Random random;
    private final int cap;
    private final ServerSocket server;
    private final AtomicInteger open = new AtomicInteger();
    private final AtomicInteger overCap = new AtomicInteger();
    private final Map<String, AtomicInteger> versions;
    private volatile double lostResponseRatio;
    private volatile boolean cutOff;

    /** Starts listening at a free port. The versions are shared by all instances of the service. */
    SoakInstance(String id, SoakAudit audit, long seed, int cap, Map<String, AtomicInteger> versions)
            throws IOException {
        this.id = id;
        this.audit = audit;
        this.random = new Random(seed);
        this.cap = cap;
        this.versions = versions;
        this.server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        thread(this::accept);
    }

    static Map<String, AtomicInteger> versions() {
        return new ConcurrentHashMap<>();
    }

    private static void thread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    /** Sets the fraction of responses that are lost after their requests ran. */
    void loseResponses(double ratio) {
        lostResponseRatio = ratio;
    }

    /** Sets whether the instance is cut off. While it is, it closes connections without running their requests. */
    void cutOff(boolean cut) {
        cutOff = cut;
    }

    /** Returns the number of connections that were reset because they exceeded the limit. */
    int overCap() {
        return overCap.get();
    }

    String heartbeat(String service, long sequence) {
        return """
                {"address":"127.0.0.1:%d","information":{"service":"%s","version":"v1","zone":"a","slotCount":16},
                "status":{"state":"ready","sequence":%d,"coldRemaining":"0ms"}}
                """.formatted(server.getLocalPort(), service, sequence);
    }

    String id() {
        return id;
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                if (open.incrementAndGet() > cap) {
                    overCap.incrementAndGet();
                    open.decrementAndGet();
                    socket.setSoLinger(true, 0);
                    socket.close();
                } else {
                    thread(() -> serve(socket));
                }
            }
        } catch (IOException closed) {
            // The server socket was closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (SoakHttp.Message next = SoakHttp.read(in); next != null; next = SoakHttp.read(in)) {
                if (cutOff || !respond(next, socket)) {
                    return;
                }
            }
        } catch (IOException closed) {
            // The other side closed the connection.
        } finally {
            open.decrementAndGet();
        }
    }

    private boolean respond(SoakHttp.Message request, Socket socket) throws IOException {
        String path = request.first().split(" ")[1];
        String attemptId = request.header("X-Attempt-Id");
        if (!id.equals(request.header("X-Expected-Instance"))) {
            audit.recordViolation("ROUTE", attemptId + " was not meant for " + id);
        }
        String body = path.startsWith("/read/") ? object(path) : operation(attemptId, request, path);
        if (random.nextDouble() < lostResponseRatio) {
            return false;
        }
        String head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attemptId + "\r\nX-Response-Seal: " + body.hashCode()
                + "\r\nX-Server-Load: 1,0,16\r\n";
        if (path.startsWith("/read/")) {
            head += "ETag: \"" + body.hashCode() + "\"\r\nX-Object-Tags: all tag" + path.hashCode() % 3 + "\r\n";
        }
        socket.getOutputStream()
                .write((head + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.ISO_8859_1));
        return true;
    }

    private String object(String path) {
        audit.originArrival();
        int version = versions.computeIfAbsent(path, p -> new AtomicInteger(1)).get();
        return path + ' ' + version + ' ' + "x".repeat(Math.floorMod(path.hashCode(), 20_000));
    }

    private String operation(String attemptId, SoakHttp.Message request, String path) {
        audit.operationRan(attemptId, path.startsWith("/write/") ? request.header("X-Operation-Key") : null);
        return path + ' ' + request.header("X-Operation-Key") + ' ' + attemptId;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
