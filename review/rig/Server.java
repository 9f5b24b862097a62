import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiFunction;

/** A server of a service, as the users' pages describe it: it beats, works, echoes the id and stamps its answers. */
final class Server implements AutoCloseable {

    /** One request that ran. */
    record Run(double atSeconds, String attemptId, String operationKey, String line, int bodyBytes) {}

    final String id;
    final String service;
    final String address;
    final int port;
    final List<Run> runs = new CopyOnWriteArrayList<>();
    final Map<String, AtomicLong> runsByKey = new ConcurrentHashMap<>();
    final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final Deployment deployment;
    private final ServerSocket listener;
    private final int workMs;
    private final BiFunction<Http.Message, Server, byte[]> answer;
    private final AtomicLong sequence = new AtomicLong();
    private final boolean keepRuns;
    volatile String state = "ready";
    volatile boolean beating = true;
    private volatile boolean closed;

    Server(
            Deployment deployment,
            String id,
            String service,
            String address,
            int workMs,
            boolean keepRuns,
            BiFunction<Http.Message, Server, byte[]> answer)
            throws IOException {
        this.deployment = deployment;
        this.id = id;
        this.service = service;
        this.address = address;
        this.workMs = workMs;
        this.keepRuns = keepRuns;
        this.answer = answer;
        this.listener = new ServerSocket(0, 256, InetAddress.getByName(address));
        this.port = listener.getLocalPort();
        daemon(this::accept);
        daemon(this::beat);
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** One heartbeat at a registry. */
    Http.Result report(int coreMachine) {
        String body = "{\"address\":\"" + address + ":" + port + "\",\"information\":{\"service\":\"" + service
                + "\",\"version\":\"v1\",\"zone\":\"spata-hall\",\"slotCount\":32},\"status\":{\"state\":\"" + state
                + "\",\"sequence\":" + sequence.incrementAndGet() + ",\"coldRemaining\":\"0ms\"}}";
        return Http.call(
                deployment.core(coreMachine),
                deployment.controlPort(),
                "PUT",
                "/ridgemill/instances/" + id,
                body,
                "",
                1_000);
    }

    private void beat() {
        int machine = 0;
        int machines = deployment.programs("registry").size();
        while (!closed) {
            boolean acknowledged = false;
            for (int tries = 0; beating && !acknowledged && tries < machines && !closed; tries++) {
                acknowledged = report(machine).status() / 100 == 2;
                if (!acknowledged) {
                    machine = (machine + 1) % machines;
                }
            }
            sleep(acknowledged || !beating ? 1_500 : 200);
        }
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = listener.accept();
                connections.add(socket);
                daemon(() -> serve(socket));
            } catch (IOException ended) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 16 * 1024);
            OutputStream out = socket.getOutputStream();
            for (Http.Message request = Http.read(in, false); request != null; request = Http.read(in, false)) {
                handle(request, out);
            }
        } catch (IOException ended) {
            // The other side broke off.
        } finally {
            connections.remove(socket);
        }
    }

    private void handle(Http.Message request, OutputStream out) throws IOException {
        String attemptId = request.headers().get("x-attempt-id");
        String expected = request.headers().get("x-expected-instance");
        if (expected != null && !expected.equals(id)) {
            write(out, 421, attemptId, "X-Not-Executed: 1\r\n", new byte[0]);
            return;
        }
        String key = request.headers().get("x-operation-key");
        if (keepRuns) {
            runs.add(new Run(
                    deployment.record.seconds(), attemptId, key, request.startLine(), request.body().length));
        }
        if (key != null) {
            runsByKey.computeIfAbsent(key, absent -> new AtomicLong()).incrementAndGet();
        }
        if (workMs > 0) {
            sleep(workMs);
        }
        byte[] body = answer.apply(request, this);
        write(out, 200, attemptId, "X-Response-Seal: " + id + "." + attemptId + "\r\n", body);
    }

    private void write(OutputStream out, int status, String attemptId, String extra, byte[] body) throws IOException {
        String head = "HTTP/1.1 " + status + " X\r\nX-Attempt-Id: " + attemptId + "\r\nX-Instance-Id: " + id + "\r\n"
                + extra + "Content-Length: " + body.length + "\r\n\r\n";
        byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = java.util.Arrays.copyOf(headBytes, headBytes.length + body.length);
        System.arraycopy(body, 0, all, headBytes.length, body.length);
        out.write(all);
        out.flush();
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
        for (Socket socket : connections) {
            socket.close();
        }
    }
}
