package rig2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A sound server of a service as a process: {@code ObjectServer ID SERVICE ADDRESS ZONE LEDGER WORK-MS BODY-BYTES
 * CORE...}; the address is {@code IP:PORT}, with port 0 for any. It writes to its ledger when it begins to work on a request, works for the given time and answers with a
 * body of the given size and an entity tag that stays the same.
 */
public final class ObjectServer {

    private static final int SLOTS = 32;
    private static final int FIRST_CORE_ARGUMENT = 7;

    private final String id;
    private final Path ledger;
    private final int workMs;
    private final byte[] body;
    private final Semaphore slots = new Semaphore(SLOTS);
    private final AtomicInteger runs = new AtomicInteger();

    private ObjectServer(String id, Path ledger, int workMs, int bodyBytes) {
        this.id = id;
        this.ledger = ledger;
        this.workMs = workMs;
        this.body = new byte[bodyBytes];
        java.util.Arrays.fill(body, (byte) 'x');
    }

    /** Starts a server process; it is registered at all core machines of the deployment. */
    public static Process start(
            Deployment deployment, String id, String service, String zone, Path ledger, int workMs, int bodyBytes)
            throws IOException {
        String address = deployment.nextAddress() + ":0";
        return start(deployment, id, service, address, zone, ledger, workMs, bodyBytes, deployment.coreMachines());
    }

    /** Starts a server process that sends its heartbeats to the given core machines; without any it sends none. */
    public static Process start(
            Deployment deployment,
            String id,
            String service,
            String address,
            String zone,
            Path ledger,
            int workMs,
            int bodyBytes,
            List<Deployment.Machine> heartbeatReceivers)
            throws IOException {
        List<String> command = new ArrayList<>(List.of(
                "java",
                "-Xmx64m",
                "-XX:+UseSerialGC",
                "-cp",
                System.getProperty("java.class.path"),
                "rig2.ObjectServer",
                id,
                service,
                address,
                zone,
                ledger.toString(),
                Integer.toString(workMs),
                Integer.toString(bodyBytes)));
        for (Deployment.Machine machine : heartbeatReceivers) {
            command.add(machine.address() + ":" + machine.control().getPort());
        }
        return deployment.startStandIn(id, command);
    }

    public static void main(String[] arguments) throws Exception {
        ObjectServer server = new ObjectServer(
                arguments[0], Path.of(arguments[4]), Integer.parseInt(arguments[5]), Integer.parseInt(arguments[6]));
        String[] listenAt = arguments[2].split(":");
        ServerSocket listener = new ServerSocket(Integer.parseInt(listenAt[1]), 128, InetAddress.getByName(listenAt[0]));
        List<InetSocketAddress> core = new ArrayList<>();
        for (int i = FIRST_CORE_ARGUMENT; i < arguments.length; i++) {
            String[] parts = arguments[i].split(":");
            core.add(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])));
        }
        String address = listenAt[0] + ":" + listener.getLocalPort();
        if (!core.isEmpty()) {
            new Heartbeats(arguments[0], arguments[1], address, arguments[3], SLOTS, core).start();
        }
        while (true) {
            Socket socket = listener.accept();
            Thread connection = new Thread(() -> server.serve(socket));
            connection.setDaemon(true);
            connection.start();
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String head = head(in);
            while (head != null) {
                in.readNBytes(Integer.parseInt(header(head, "Content-Length", "0")));
                answer(socket, head);
                head = head(in);
            }
        } catch (IOException | InterruptedException ended) {
            // The peer has closed the connection.
        }
    }

    private void answer(Socket socket, String head) throws IOException, InterruptedException {
        String attemptId = header(head, "X-Attempt-Id", "");
        String expected = header(head, "X-Expected-Instance", id);
        String echo = "X-Attempt-Id: " + attemptId + "\r\n";
        if (!expected.equals(id)) {
            write(socket, "HTTP/1.1 421 Misdirected\r\n" + echo + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", null);
            return;
        }
        int run = runs.incrementAndGet();
        slots.acquire();
        try {
            note("begun " + attemptId + " " + head.split(" ")[1] + " at " + id);
            Thread.sleep(workMs);
        } finally {
            slots.release();
        }
        write(
                socket,
                "HTTP/1.1 200 OK\r\n" + echo + "X-Response-Seal: " + id + "." + run + "\r\nETag: \"1\"\r\nX-Object-Tags: t1\r\n"
                        + "X-Instance-Id: " + id + "\r\nContent-Length: " + body.length + "\r\n\r\n",
                body);
    }

    private static void write(Socket socket, String head, byte[] content) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(head.getBytes(StandardCharsets.ISO_8859_1));
        if (content != null) {
            bytes.write(content);
        }
        socket.getOutputStream().write(bytes.toByteArray());
    }

    private synchronized void note(String line) throws IOException {
        Files.writeString(ledger, line + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    }

    private static String head(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < 4) {
            int b = in.read();
            if (b < 0) {
                return null;
            }
            head.write(b);
            matched = b == (matched % 2 == 0 ? '\r' : '\n') ? matched + 1 : b == '\r' ? 1 : 0;
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }

    private static String header(String head, String name, String otherwise) {
        for (String line : head.split("\r\n")) {
            int colon = line.indexOf(':');
            if (colon > 0 && line.substring(0, colon).equalsIgnoreCase(name)) {
                return line.substring(colon + 1).trim();
            }
        }
        return otherwise;
    }
}
