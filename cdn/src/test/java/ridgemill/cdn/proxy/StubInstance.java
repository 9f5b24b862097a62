package ridgemill.cdn.proxy;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import ridgemill.cdn.instances.Instance;
import ridgemill.cdn.instances.InstanceState;

/** A scripted instance on the loopback interface that records the requests it receives. */
final class StubInstance implements AutoCloseable {

    /** Writes the response to a request; the connection stays open if it returns true. */
    interface Script {
        boolean respond(Received request, Socket socket) throws Exception;
    }

    /** A request as received. */
    record Received(String head, String body) {

        String header(String name) {
            for (String line : head.split("\r\n")) {
                if (line.regionMatches(true, 0, name + ":", 0, name.length() + 1)) {
                    return line.substring(name.length() + 1).trim();
                }
            }
            return null;
        }

        String attemptId() {
            return header("X-Attempt-Id");
        }
    }

    final BlockingQueue<Received> received = new LinkedBlockingQueue<>();
    private final ServerSocket server;
    private final String id;
    private final List<Socket> sockets = new ArrayList<>();
    volatile Script script;
    /** If set, responds after the head alone, before the body is read. */
    volatile Script earlyScript;

    StubInstance(String id, Script script) throws IOException {
        this.id = id;
        this.script = script;
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread acceptThread = new Thread(this::accept);
        acceptThread.setDaemon(true);
        acceptThread.start();
    }

    Instance instance(String service) {
        return new Instance(id, service, "127.0.0.1:" + server.getLocalPort(), "z", "v1", 8, InstanceState.READY, 1, 0);
    }

    /** The number of connections accepted so far. */
    int connections() {
        synchronized (sockets) {
            return sockets.size();
        }
    }

    Received take() throws InterruptedException {
        Received next = received.poll(5, TimeUnit.SECONDS);
        if (next == null) {
            throw new AssertionError("no request received by " + id);
        }
        return next;
    }

    /** Responds with status 200, a seal and this body. */
    static Script sealed(String body) {
        return (request, socket) -> write(socket, response(request, 200, "X-Response-Seal: s\r\n", body));
    }

    static String response(Received request, int status, String extraHeaders, String body) {
        return "HTTP/1.1 " + status + " X\r\nX-Attempt-Id: " + request.attemptId() + "\r\n" + extraHeaders
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static boolean write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
        return true;
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                synchronized (sockets) {
                    sockets.add(socket);
                }
                Thread serveThread = new Thread(() -> serve(socket));
                serveThread.setDaemon(true);
                serveThread.start();
            }
        } catch (IOException closed) {
            // The test has ended.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            for (Received next = read(in, socket); next != null; next = read(in, socket)) {
                received.add(next);
                if (!script.respond(next, socket)) {
                    return;
                }
            }
        } catch (Exception closed) {
            // The proxy closed the connection.
        }
    }

    private Received read(InputStream in, Socket socket) throws Exception {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int b = in.read();
            if (b < 0) {
                return null;
            }
            head.write(b);
        }
        Received request = new Received(head.toString(StandardCharsets.ISO_8859_1), "");
        if (earlyScript != null && !earlyScript.respond(request, socket)) {
            return null;
        }
        String length = request.header("Content-Length");
        byte[] body = length == null ? new byte[0] : in.readNBytes(Integer.parseInt(length));
        return new Received(request.head(), new String(body, StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() throws IOException {
        server.close();
        synchronized (sockets) {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }
}
