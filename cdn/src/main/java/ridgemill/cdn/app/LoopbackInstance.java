package ridgemill.cdn.app;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

/** A stub instance of a service. Responds to each request with a text that contains the number of requests so far. */
final class LoopbackInstance implements AutoCloseable {

    private static final String ID_HEADER = "x-attempt-id: ";
    private static final int BACKLOG = 64;
    private static final int MAX_REQUEST_BYTES = 64 * 1024;

    private final ServerSocket listener;
    private final AtomicInteger runs = new AtomicInteger();

    /** Starts listening at a free port of an address. */
    LoopbackInstance(String host) throws IOException {
        listener = new ServerSocket(0, BACKLOG, InetAddress.getByName(host));
        start("instance", this::accept);
    }

    /** Returns the address of the instance, as {@code IP:port}. */
    String address() {
        return listener.getInetAddress().getHostAddress() + ':' + listener.getLocalPort();
    }

    private static void start(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                start("instance-connection", () -> serve(socket));
            }
        } catch (IOException closed) {
            // The listener was closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            byte[] buffer = new byte[MAX_REQUEST_BYTES];
            int read = in.read(buffer);
            while (read > 0) {
                String head = new String(buffer, 0, read, StandardCharsets.ISO_8859_1);
                socket.getOutputStream().write(responseTo(head).getBytes(StandardCharsets.ISO_8859_1));
                read = in.read(buffer);
            }
        } catch (IOException ended) {
            // The proxy has closed its connection.
        }
    }

    private String responseTo(String head) {
        int at = head.toLowerCase(Locale.ROOT).indexOf(ID_HEADER);
        if (at < 0) {
            return "HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        }
        String id = head.substring(at + ID_HEADER.length(), head.indexOf('\r', at));
        int run = runs.incrementAndGet();
        String body = "run " + run + " of " + address() + "\n";
        return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: run-" + run
                + "\r\nETag: \"" + run + "\"\r\nX-Object-Tags: t1 t2\r\nX-Server-Load: 1,0,32\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body;
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
